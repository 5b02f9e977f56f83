import java.nio.file.Path;

/** One case of the review. */
interface Case {
    /**
     * Runs the case.
     *
     * @param folder folder for settings and output of the hosts
     * @param trouble whether the disruption happens
     * @return whether the rule was broken
     */
    boolean ruleBroken(Path folder, boolean trouble) throws Exception;
}
