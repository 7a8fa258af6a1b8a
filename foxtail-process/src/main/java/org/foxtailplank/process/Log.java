package org.foxtailplank.process;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ResourceBundle;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Logs of one part of the system, in short sentences with the part's name in front. */
public final class Log {
    /** Logger names start with this; the part's name follows. */
    static final String ROOT = "foxtail.";

    private static final ResourceBundle NO_BUNDLE = null;

    private static final Pattern ARGUMENT = Pattern.compile("\\{(\\d{1,2})}");

    private final System.Logger mLogger;
    private final LogFields mFields;

    private Log(System.Logger logger, LogFields fields) {
        mLogger = logger;
        mFields = fields;
    }

    /** The log of a part, for example {@code route}. */
    public static Log of(String part) {
        return new Log(System.getLogger(ROOT + part), LogFields.NONE);
    }

    /** A log that adds a named value to each line, for example the id of a request. */
    public Log with(String name, Object value) {
        return new Log(mLogger, mFields.with(name, value));
    }

    /** Logs what a developer may want to know; {@code {0}} stands for the first argument. */
    public void debug(String sentence, Object... arguments) {
        log(System.Logger.Level.DEBUG, sentence, arguments);
    }

    /** Logs what an operator may want to know. */
    public void info(String sentence, Object... arguments) {
        log(System.Logger.Level.INFO, sentence, arguments);
    }

    /** Logs what an operator should look at. */
    public void warn(String sentence, Object... arguments) {
        log(System.Logger.Level.WARNING, sentence, arguments);
    }

    /** Logs what an operator must look at. */
    public void error(String sentence, Object... arguments) {
        log(System.Logger.Level.ERROR, sentence, arguments);
    }

    /** Logs an error that ends the process, with its stack. */
    void fatal(String sentence, Throwable cause) {
        StringWriter stack = new StringWriter();
        cause.printStackTrace(new PrintWriter(stack));
        with("stack", stack).error(sentence);
    }

    private void log(System.Logger.Level level, String sentence, Object... arguments) {
        if (!mLogger.isLoggable(level)) {
            return;
        }
        mLogger.log(level, NO_BUNDLE, fill(sentence, arguments), mFields);
    }

    /** Fills the arguments in; a message format would read patterns inside their values. */
    private static String fill(String sentence, Object... arguments) {
        StringBuilder text = new StringBuilder();
        Matcher matcher = ARGUMENT.matcher(sentence);
        while (matcher.find()) {
            int index = Integer.parseInt(matcher.group(1));
            String value =
                    index < arguments.length ? String.valueOf(arguments[index]) : matcher.group();
            matcher.appendReplacement(text, Matcher.quoteReplacement(value));
        }
        return matcher.appendTail(text).toString();
    }
}
