package org.amaranthlock.coordination.promptpart;

import java.util.Set;
import org.amaranthlock.model.PromptPartId;

/** Listener for what a host believes of prompt parts. */
public interface PromptPartListener {
    /**
     * Called when a target has crashed under a request with a part, as this or another host saw.
     *
     * @param part the part
     * @param crashes consecutive crashes under requests with it
     * @param companions parts that all of these requests have in common with it
     */
    void onSuspected(PromptPartId part, int crashes, Set<PromptPartId> companions);

    /** Called when a target has begun to answer a request with a suspect part. */
    void onCleared(PromptPartId part);

    /** Called when the other hosts have to hear of a change, which {@link PromptPartGuard#takeChanges} returns. */
    void onReportDue();

    /** Returns a listener that ignores all calls. */
    static PromptPartListener none() {
        return new PromptPartListener() {
            @Override
            public void onSuspected(PromptPartId part, int crashes, Set<PromptPartId> companions) {}

            @Override
            public void onCleared(PromptPartId part) {}

            @Override
            public void onReportDue() {}
        };
    }
}
