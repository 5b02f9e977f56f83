package org.amaranthlock.bench.capacity;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Straight line through measured points by least squares.
 *
 * @param slope growth of the figure per unit of the size
 * @param intercept figure at size 0
 * @param r2 share of the variance that the line explains; 1 when the figure is the same at all sizes
 */
record LinearFit(double slope, double intercept, double r2) {
    /** Fits a line to at least two points of different size. */
    static LinearFit fit(List<Point> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.size(), point.value()));
        double r2 = regression.getTotalSumSquares() == 0 ? 1 : regression.getRSquare();
        return new LinearFit(regression.getSlope(), regression.getIntercept(), r2);
    }

    double valueAt(double size) {
        return intercept + slope * size;
    }

    /** A figure measured at a size. */
    record Point(double size, double value) {}
}
