package org.amaranthlock.router.cli;

/** Exit codes of the command line. */
public final class ExitCodes {
    /** Success. */
    public static final int OK = 0;
    /** The call was rejected or failed. */
    public static final int FAILED = 1;
    /** Wrong options or arguments. */
    public static final int USAGE = 2;
    /** The settings or an input file are invalid. */
    public static final int INVALID_INPUT = 3;
    /** Another operator changed the entry first. */
    public static final int CONFLICT = 4;
    /** No router is reachable. */
    public static final int UNREACHABLE = 5;
    /** Internal error. */
    public static final int INTERNAL = 70;

    private ExitCodes() {}
}
