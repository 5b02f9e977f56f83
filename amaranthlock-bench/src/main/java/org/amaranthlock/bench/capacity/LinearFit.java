package org.amaranthlock.bench.capacity;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Least-squares line through measured points.
 *
 * @param slope growth of the value per unit of size
 * @param intercept value at size 0
 * @param r2 coefficient of determination; 1 if the value is the same at all sizes
 */
record LinearFit(double slope, double intercept, double r2) {
    /** Fits a line to at least two points of different sizes. */
    static LinearFit fit(List<Point> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.size(), point.value()));
        double r2 = regression.getTotalSumSquares() == 0 ? 1 : regression.getRSquare();
        return new LinearFit(regression.getSlope(), regression.getIntercept(), r2);
    }

    double valueAt(double size) {
        return intercept + slope * size;
    }

    /** Value measured at a size. */
    record Point(double size, double value) {}
}
