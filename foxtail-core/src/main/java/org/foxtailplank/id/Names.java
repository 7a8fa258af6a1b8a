package org.foxtailplank.id;

/** Checks the text of names. */
final class Names {

    private static final int MAX_LENGTH = 200;

    private Names() {}

    static void check(String value, String what) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("the name of a " + what + " is blank");
        }
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("the name of a " + what + " is too long");
        }
    }
}
