package org.amaranthlock.router.http;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

/** Authenticates operators by the SHA-256 hashes of their keys. */
final class OperatorAuthentication {
    private final Map<String, byte[]> hashesByName = new HashMap<>();

    /** Creates an instance from the hashes in hexadecimal, by operator name. */
    OperatorAuthentication(Map<String, String> operators) {
        operators.forEach((name, hash) -> hashesByName.put(name, HexFormat.of().parseHex(hash)));
    }

    /** Returns the name of the operator with the request's key, if any; takes the same time for every wrong key. */
    Optional<String> authenticate(InboundRequest request) {
        String key = request.bearerKey().orElse("");
        byte[] hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).asBytes();
        String found = null;
        for (Map.Entry<String, byte[]> entry : hashesByName.entrySet()) {
            if (MessageDigest.isEqual(entry.getValue(), hash)) {
                found = entry.getKey();
            }
        }
        return key.isEmpty() ? Optional.empty() : Optional.ofNullable(found);
    }
}
