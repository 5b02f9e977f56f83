package org.amaranthlock.coordination.loadreport;

/**
 * Version of a load report of one host.
 *
 * @param run random number of the process; {@link #UNKNOWN_RUN} for a build that does not number its reports
 * @param sequence number of the report within the process
 */
public record ReportVersion(long run, long sequence) {
    /** Run of a report that arrived without a version. */
    public static final long UNKNOWN_RUN = 0;

    /** Version of a report that arrived without one. */
    public static final ReportVersion UNKNOWN = new ReportVersion(UNKNOWN_RUN, 0);

    /** Returns whether a report of this version replaces one of another version, which is of the same host. */
    boolean replaces(ReportVersion other) {
        return run == UNKNOWN_RUN || run != other.run || sequence > other.sequence;
    }
}
