package org.amaranthlock.coordination;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/** Response of the platform's object API, or the failure to obtain one. */
public sealed interface ObjectApiEvent extends Event {
    /** Response to {@link ObjectApiCommand.Read}; empty if the object does not exist. */
    record ReadDone(long operation, Optional<VersionedObject> object) implements ObjectApiEvent {}

    /** Response to {@link ObjectApiCommand.ListObjects}, as of a global revision. */
    record ListDone(long operation, List<VersionedObject> objects, long revision) implements ObjectApiEvent {
        public ListDone {
            objects = List.copyOf(objects);
        }
    }

    /** The write took effect. */
    record WriteApplied(long operation, long version, long revision) implements ObjectApiEvent {}

    /** The write did not take effect, because the object has another version than expected. */
    record WriteConflicted(long operation) implements ObjectApiEvent {}

    /** It is unknown whether the write took effect. */
    record WriteUnknown(long operation) implements ObjectApiEvent {}

    /** The operation had no effect: the platform refused it, limited its rate or is unreachable. */
    record OperationFailed(long operation, String reason) implements ObjectApiEvent {}

    /**
     * Response to {@link ObjectApiCommand.Watch}.
     *
     * @param operation operation number
     * @param changed objects that changed, in the order of their revisions
     * @param deletedKeys keys of objects that were deleted
     * @param revision global revision up to which all changes are included
     */
    record WatchReturned(long operation, List<VersionedObject> changed, List<String> deletedKeys, long revision)
            implements ObjectApiEvent {
        public WatchReturned {
            changed = List.copyOf(changed);
            deletedKeys = List.copyOf(deletedKeys);
        }
    }

    /** Response to {@link ObjectApiCommand.ListHosts}; the list may be out of date. */
    record HostsListed(List<HostEntry> hosts) implements ObjectApiEvent {
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }
}
