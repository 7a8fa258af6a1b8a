package org.foxtailplank.internal.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Turns JSON with comments into nodes. */
public final class NodeParser {
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .build();

    private final String mFile;
    private final JsonParser mParser;
    private final Problems mProblems;

    private NodeParser(String file, JsonParser parser, Problems problems) {
        mFile = file;
        mParser = parser;
        mProblems = problems;
    }

    /** Reads one file; empty, with a problem reported, when it holds no JSON object. */
    public static Optional<Node.Members> parse(String file, String text, Problems problems) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return new NodeParser(file, parser, problems).root();
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            problems.notJson(new Place(file, line), e.getOriginalMessage());
            return Optional.empty();
        } catch (IOException e) {
            throw new IllegalStateException("reading from a string failed", e);
        }
    }

    private Optional<Node.Members> root() throws IOException {
        if (mParser.nextToken() == null) {
            mProblems.emptyFile(new Place(mFile, 1));
            return Optional.empty();
        }
        Node root = value("");
        if (mParser.nextToken() != null) {
            mProblems.textAfterEnd(here());
        }
        if (root instanceof Node.Members members) {
            return Optional.of(members);
        }
        mProblems.wrongType(root.place(), "", root.describe(), "an object");
        return Optional.empty();
    }

    private Node value(String path) throws IOException {
        Place place = here();
        return switch (mParser.currentToken()) {
            case START_OBJECT -> members(place, path);
            case START_ARRAY -> items(place, path);
            case VALUE_STRING -> new Node.Scalar(place, Node.Kind.TEXT, mParser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    new Node.Scalar(place, Node.Kind.NUMBER, mParser.getText());
            case VALUE_TRUE, VALUE_FALSE ->
                    new Node.Scalar(place, Node.Kind.FLAG, mParser.getText());
            default -> new Node.Scalar(place, Node.Kind.NULL, "null");
        };
    }

    private Node members(Place place, String path) throws IOException {
        Map<String, Node> members = new LinkedHashMap<>();
        while (mParser.nextToken() == JsonToken.FIELD_NAME) {
            String key = mParser.currentName();
            Place keyPlace = here();
            String child = Paths.join(path, key);
            mParser.nextToken();
            Node earlier = members.put(key, value(child));
            if (earlier != null) {
                mProblems.duplicateKey(keyPlace, child, earlier.place());
            }
        }
        return new Node.Members(place, members);
    }

    private Node items(Place place, String path) throws IOException {
        List<Node> items = new ArrayList<>();
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(Paths.item(path, items.size())));
        }
        return new Node.Items(place, items);
    }

    private Place here() {
        return new Place(mFile, mParser.currentTokenLocation().getLineNr());
    }
}
