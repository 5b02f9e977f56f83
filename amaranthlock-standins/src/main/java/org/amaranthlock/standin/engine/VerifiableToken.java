package org.amaranthlock.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * Generated token with the text {@code w<index>-<nonce>-<hash> }, which ends with a space.
 *
 * <p>The index proves order and completeness, the nonce identifies the generation, and the hash binds both to the
 * sampling seed of the request. A token of another request or generation is thus detected from the text alone.
 *
 * @param index the position in the response, from 0
 * @param nonce the identifier of the generation
 * @param hash the checksum of seed, index and nonce
 */
public record VerifiableToken(int index, String nonce, String hash) {
    private static final Pattern FORMAT = Pattern.compile("w(\\d{1,9})-([0-9a-z]+)-([0-9a-f]{8}) ?");

    /** Creates the token at the given index of a generation. */
    public static VerifiableToken of(long seed, int index, String nonce) {
        CRC32C checksum = new CRC32C();
        checksum.update((seed + ":" + index + ":" + nonce).getBytes(StandardCharsets.UTF_8));
        return new VerifiableToken(index, nonce, String.format("%08x", checksum.getValue()));
    }

    /** Parses the text of a single token, or returns empty if it has another form. */
    public static Optional<VerifiableToken> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new VerifiableToken(Integer.parseInt(matcher.group(1)), matcher.group(2), matcher.group(3)));
    }

    /** Returns whether the hash was computed with the given seed. */
    public boolean matchesSeed(long seed) {
        return equals(of(seed, index, nonce));
    }

    /** Returns the text of the token, including the trailing space. */
    public String text() {
        return "w" + index + "-" + nonce + "-" + hash + " ";
    }
}
