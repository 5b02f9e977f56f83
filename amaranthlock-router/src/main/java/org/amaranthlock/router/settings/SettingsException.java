package org.amaranthlock.router.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** Thrown when a settings file is invalid; contains all its errors. */
public final class SettingsException extends AmaranthlockException {
    private final transient List<SettingsProblem> problems;

    /** Creates an exception whose message lists the errors, one per line. */
    public SettingsException(List<SettingsProblem> problems) {
        super(
                ErrorCode.INVALID_SETTINGS,
                problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the errors, in the order in which they were found. */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
