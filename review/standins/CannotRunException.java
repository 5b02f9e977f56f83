/** The case could not run, so that nothing is known about the rule. */
final class CannotRunException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRunException(String message) {
        super(message);
    }
}
