package org.foxtailplank.internal.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An object of the settings, read key by key.
 *
 * <p>A wrong value is reported and replaced by its default, so that reading goes on and finds every
 * problem at once.
 */
final class Section {
    private static final String ADDRESS_FORM =
            "an IP number and a port, for example \"127.0.0.1:7001\"";
    private static final String URL_FORM = "an http address, for example \"http://10.0.0.1:8080\"";
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]+]):(\\d{1,5})");
    private static final int MAX_TEXT = 200;
    private static final int MAX_PORT = 65_535;

    private final Node.Members mNode;
    private final String mPath;
    private final Problems mProblems;
    private final Defaults mDefaults;
    private final TreeSet<String> mKnown = new TreeSet<>();

    Section(Node.Members node, String path, Problems problems, Defaults defaults) {
        mNode = node;
        mPath = path;
        mProblems = problems;
        mDefaults = defaults;
    }

    String path() {
        return mPath;
    }

    String path(String key) {
        return Paths.join(mPath, key);
    }

    Place place() {
        return mNode.place();
    }

    /** Where a key's value stands, or the object when it has no such key. */
    Place place(String key) {
        return find(key).map(Node::place).orElse(mNode.place());
    }

    boolean has(String key) {
        return find(key).isPresent();
    }

    /** An object below this one; an empty one when there is none. */
    Section section(String key) {
        Node.Members none = new Node.Members(place(key), Map.of());
        Node.Members members = find(key).map(n -> members(n, path(key)).orElse(none)).orElse(none);
        return new Section(members, path(key), mProblems, mDefaults);
    }

    /** Objects by name below this one; a key may be a range of names. */
    Map<String, Section> named(String key) {
        Map<String, Section> sections = new LinkedHashMap<>();
        Section all = section(key);
        for (Map.Entry<String, Node> entry : all.mNode.members().entrySet()) {
            String path = all.path(entry.getKey());
            Optional<Node.Members> members = members(entry.getValue(), path);
            if (members.isEmpty()) {
                continue;
            }
            for (String name : names(entry.getKey(), entry.getValue().place(), path)) {
                Section section = new Section(members.get(), path, mProblems, mDefaults);
                if (sections.put(name, section) != null) {
                    mProblems.sameName(entry.getValue().place(), path, name, "the name");
                }
            }
        }
        return sections;
    }

    /** A list of names, each of which may be a range. */
    List<String> nameList(String key) {
        List<String> names = new ArrayList<>();
        Optional<Node> node = find(key);
        if (node.isPresent() && !(node.get() instanceof Node.Items)) {
            mProblems.wrongType(
                    node.get().place(), path(key), node.get().describe(), "a list of names");
        }
        if (node.orElse(null) instanceof Node.Items items) {
            for (int i = 0; i < items.items().size(); i++) {
                String path = Paths.item(path(key), i);
                Node item = items.items().get(i);
                scalar(item, Node.Kind.TEXT, path, "a name")
                        .ifPresent(text -> names.addAll(names(text, item.place(), path)));
            }
        }
        return names;
    }

    private List<String> names(String text, Place place, String path) {
        Optional<List<String>> names = NameRange.expand(text);
        if (names.isEmpty()) {
            mProblems.badRange(place, path, text);
        }
        return names.orElse(List.of());
    }

    Optional<String> optionalText(String key) {
        return value(
                key,
                Node.Kind.TEXT,
                "a text of 1 to " + MAX_TEXT + " characters",
                t -> t.isBlank() || t.length() > MAX_TEXT ? null : t);
    }

    String text(String key, String allowed) {
        return required(key, allowed, optionalText(key)).orElse("?");
    }

    int integer(String key, int least, int most, Integer otherwise) {
        String allowed = "a whole number from " + least + " to " + most;
        Optional<Integer> value =
                value(key, Node.Kind.NUMBER, allowed, t -> parseInt(t, least, most));
        return orElse(key, allowed, value, otherwise, least);
    }

    double fraction(String key, double above, Double otherwise) {
        String allowed = "a number above " + above + " and at most 1";
        return decimal(key, allowed, d -> d > above && d <= 1, otherwise);
    }

    double share(String key, Double otherwise) {
        return decimal(key, "a number from 0 to 1", d -> d >= 0 && d <= 1, otherwise);
    }

    private double decimal(
            String key, String allowed, Function<Double, Boolean> valid, Double otherwise) {
        Optional<Double> value =
                value(
                        key,
                        Node.Kind.NUMBER,
                        allowed,
                        t -> valid.apply(Double.valueOf(t)) ? Double.valueOf(t) : null);
        return orElse(key, allowed, value, otherwise, 1.0);
    }

    boolean flag(String key, Boolean otherwise) {
        String allowed = "true or false";
        return orElse(
                key,
                allowed,
                value(key, Node.Kind.FLAG, allowed, Boolean::valueOf),
                otherwise,
                false);
    }

    Duration duration(String key, Duration otherwise) {
        Optional<Duration> value =
                value(
                        key,
                        Node.Kind.TEXT,
                        Units.DURATION_FORM,
                        t -> Units.duration(t).filter(d -> !d.isZero()).orElse(null));
        return orElse(key, Units.DURATION_FORM, value, otherwise, Duration.ofSeconds(1));
    }

    long size(String key, Long otherwise) {
        Optional<Long> value =
                value(
                        key,
                        Node.Kind.TEXT,
                        Units.SIZE_FORM,
                        t -> Units.size(t).filter(n -> n > 0).orElse(null));
        return orElse(key, Units.SIZE_FORM, value, otherwise, 1L);
    }

    <T> T choice(String key, String allowed, Function<String, Optional<T>> parse, T otherwise) {
        Optional<T> value = value(key, Node.Kind.TEXT, allowed, t -> parse.apply(t).orElse(null));
        return orElse(key, allowed, value, otherwise, otherwise);
    }

    InetSocketAddress address(String key) {
        Optional<InetSocketAddress> value =
                value(key, Node.Kind.TEXT, ADDRESS_FORM, Section::parseAddress);
        return required(key, ADDRESS_FORM, value).orElse(new InetSocketAddress(0));
    }

    URI url(String key) {
        Optional<URI> value = value(key, Node.Kind.TEXT, URL_FORM, Section::parseUrl);
        return required(key, URL_FORM, value).orElse(URI.create("http://127.0.0.1"));
    }

    /** Reports each key that nothing asked for. */
    void finish() {
        for (Map.Entry<String, Node> entry : mNode.members().entrySet()) {
            if (!mKnown.contains(entry.getKey())) {
                mProblems.unknownKey(
                        entry.getValue().place(),
                        path(entry.getKey()),
                        Nearest.to(entry.getKey(), mKnown),
                        mKnown);
            }
        }
    }

    private Optional<Node> find(String key) {
        mKnown.add(key);
        return Optional.ofNullable(mNode.members().get(key));
    }

    private Optional<Node.Members> members(Node node, String path) {
        if (node instanceof Node.Members members) {
            return Optional.of(members);
        }
        mProblems.wrongType(node.place(), path, node.describe(), "an object");
        return Optional.empty();
    }

    private Optional<String> scalar(Node node, Node.Kind kind, String path, String allowed) {
        if (node instanceof Node.Scalar scalar && scalar.kind() == kind) {
            return Optional.of(scalar.text());
        }
        mProblems.wrongType(node.place(), path, node.describe(), allowed);
        return Optional.empty();
    }

    /** A value of a kind; the parser answers null for a text that is not allowed. */
    private <T> Optional<T> value(
            String key, Node.Kind kind, String allowed, Function<String, T> parse) {
        Optional<String> text = find(key).flatMap(n -> scalar(n, kind, path(key), allowed));
        Optional<T> value = text.map(parse);
        if (text.isPresent() && value.isEmpty()) {
            Node node = mNode.members().get(key);
            mProblems.wrongType(node.place(), path(key), node.describe(), allowed);
        }
        return value;
    }

    private <T> Optional<T> required(String key, String allowed, Optional<T> value) {
        if (!has(key)) {
            mProblems.missing(place(), path(key), allowed);
        }
        return value;
    }

    private <T> T orElse(
            String key, String allowed, Optional<T> value, T otherwise, T placeholder) {
        if (otherwise == null) {
            return required(key, allowed, value).orElse(placeholder);
        }
        if (!has(key)) {
            mDefaults.add(path(key), otherwise);
        }
        return value.orElse(otherwise);
    }

    private static Integer parseInt(String text, int least, int most) {
        try {
            int value = Integer.parseInt(text);
            return value >= least && value <= most ? value : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            return null;
        }
        try {
            // The pattern lets only IP numbers through, so this looks no name up.
            InetAddress host = InetAddress.getByName(matcher.group(1));
            return new InetSocketAddress(host, Integer.parseInt(matcher.group(2)));
        } catch (UnknownHostException e) {
            return null;
        }
    }

    private static URI parseUrl(String text) {
        try {
            URI uri = new URI(text);
            return "http".equals(uri.getScheme()) && uri.getHost() != null ? uri : null;
        } catch (URISyntaxException e) {
            return null;
        }
    }
}
