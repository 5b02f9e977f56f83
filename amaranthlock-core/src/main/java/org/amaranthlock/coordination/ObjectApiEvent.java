package org.amaranthlock.coordination;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/** Answer of the platform, or its absence. */
public sealed interface ObjectApiEvent extends Event {
    /** Answer to {@link ObjectApiCommand.Read}; empty if there is no such object. */
    record ReadDone(long operation, Optional<VersionedObject> object) implements ObjectApiEvent {}

    /** Answer to {@link ObjectApiCommand.ListObjects}. */
    record ListDone(long operation, List<VersionedObject> objects, long revision) implements ObjectApiEvent {
        public ListDone {
            objects = List.copyOf(objects);
        }
    }

    /** The write took effect. */
    record WriteApplied(long operation, long version, long revision) implements ObjectApiEvent {}

    /** The write did not take effect, because the object's version is another one. */
    record WriteConflicted(long operation) implements ObjectApiEvent {}

    /** It is unknown whether the write took effect. */
    record WriteUnknown(long operation) implements ObjectApiEvent {}

    /** The operation certainly had no effect: the platform refused it, is over its rate or can't be reached. */
    record OperationFailed(long operation, String reason) implements ObjectApiEvent {}

    /**
     * A waiting watch returned.
     *
     * @param operation the operation
     * @param changed the objects that changed, in the order of their revisions
     * @param deletedKeys keys of objects that were deleted
     * @param revision global revision up to which the changes are complete
     */
    record WatchReturned(long operation, List<VersionedObject> changed, List<String> deletedKeys, long revision)
            implements ObjectApiEvent {
        public WatchReturned {
            changed = List.copyOf(changed);
            deletedKeys = List.copyOf(deletedKeys);
        }
    }

    /** The lagging host list was read. */
    record HostsListed(List<HostEntry> hosts) implements ObjectApiEvent {
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }
}
