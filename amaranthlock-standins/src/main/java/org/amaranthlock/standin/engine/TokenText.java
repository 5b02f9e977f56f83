package org.amaranthlock.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * One generated token as {@code w<index>-<nonce>-<hash> }.
 *
 * <p>The index proves order and completeness, the nonce names the generation, and the hash ties both to the request's
 * seed, so that a token of another request or generation is recognised from the delivered text alone.
 *
 * @param index position in the answer, from 0
 * @param nonce name of the generation
 * @param hash checksum of seed, index and nonce
 */
public record TokenText(int index, String nonce, String hash) {
    private static final Pattern FORMAT = Pattern.compile("w(\\d{1,9})-([0-9a-z]+)-([0-9a-f]{8}) ?");

    /** Creates the token at an index of a generation. */
    public static TokenText of(long seed, int index, String nonce) {
        CRC32C checksum = new CRC32C();
        checksum.update((seed + ":" + index + ":" + nonce).getBytes(StandardCharsets.UTF_8));
        return new TokenText(index, nonce, String.format("%08x", checksum.getValue()));
    }

    /** Parses one token; empty if the text has another form. */
    public static Optional<TokenText> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new TokenText(Integer.parseInt(matcher.group(1)), matcher.group(2), matcher.group(3)));
    }

    /** Tells whether the hash belongs to a seed. */
    public boolean belongsTo(long seed) {
        return equals(of(seed, index, nonce));
    }

    /** Returns the text with its trailing space. */
    public String text() {
        return "w" + index + "-" + nonce + "-" + hash + " ";
    }
}
