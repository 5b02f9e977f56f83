package org.amaranthlock.transport.objectapi;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amaranthlock.coordination.ObjectApiEvent.HostsListed;
import org.amaranthlock.coordination.ObjectApiEvent.ListDone;
import org.amaranthlock.coordination.ObjectApiEvent.WatchReturned;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;
import org.amaranthlock.protocol.MalformedDataException;
import org.amaranthlock.protocol.ObjectApiValueCodec;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.objectapi.VersionedObject;
import org.jboss.logging.Logger;

/**
 * Parses the JSON responses of the platform.
 *
 * <p>Logs and skips a malformed row, so that one bad object doesn't hide the others.
 */
final class ObjectApiAnswers {
    private static final Logger LOG = Logger.getLogger(ObjectApiAnswers.class);

    private final ObjectMapper mapper = new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private final ObjectApiValueCodec codec;

    ObjectApiAnswers(ObjectApiValueCodec codec) {
        this.codec = codec;
    }

    /** Object in a list or watch response; the value is base64 in JSON. */
    record ObjectRow(String key, long version, long revision, byte[] value) {}

    /** Deleted object in a watch response. */
    record DeletedRow(String key, long revision) {}

    /** Response to a watch. */
    record WatchAnswer(long revision, List<ObjectRow> changed, List<DeletedRow> deleted) {}

    /** Row of the host list. */
    record HostRow(String name, String role, String address, String region, String failureDomain, boolean leaving) {}

    ListDone parseList(long operation, byte[] body, long revision) throws IOException {
        return new ListDone(
                operation, decodeObjects(Arrays.asList(mapper.readValue(body, ObjectRow[].class))), revision);
    }

    WatchReturned parseWatch(long operation, byte[] body) throws IOException {
        WatchAnswer response = mapper.readValue(body, WatchAnswer.class);
        List<ObjectRow> changed = response.changed() == null ? List.of() : response.changed();
        List<DeletedRow> deleted = response.deleted() == null ? List.of() : response.deleted();
        return new WatchReturned(
                operation,
                decodeObjects(changed),
                deleted.stream().map(DeletedRow::key).toList(),
                response.revision());
    }

    HostsListed parseHosts(byte[] body) throws IOException {
        List<HostEntry> hosts = new ArrayList<>();
        for (HostRow row : mapper.readValue(body, HostRow[].class)) {
            try {
                hosts.add(new HostEntry(
                        row.name(),
                        row.role(),
                        row.address(),
                        new Region(row.region()),
                        new FailureDomain(row.failureDomain()),
                        row.leaving()));
            } catch (IllegalArgumentException | NullPointerException e) {
                LOG.warnf(
                        e,
                        "Skipped the malformed row of host %s in the platform's host list; correct the row",
                        row.name());
            }
        }
        return new HostsListed(hosts);
    }

    private List<VersionedObject> decodeObjects(List<ObjectRow> rows) {
        List<VersionedObject> objects = new ArrayList<>();
        for (ObjectRow row : rows) {
            try {
                objects.add(new VersionedObject(row.key(), row.version(), row.revision(), codec.decode(row.value())));
            } catch (MalformedDataException | IllegalArgumentException | NullPointerException e) {
                LOG.warnf(e, "Skipped the malformed platform object %s; delete it or write it again", row.key());
            }
        }
        return objects;
    }
}
