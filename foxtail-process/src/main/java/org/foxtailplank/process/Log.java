package org.foxtailplank.process;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ResourceBundle;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Logger of one component, with {@code {0}} placeholders and named fields. */
public final class Log {
    /** Prefix of logger names; the component name follows. */
    static final String ROOT = "foxtail.";

    private static final ResourceBundle NO_BUNDLE = null;

    private static final Pattern ARGUMENT = Pattern.compile("\\{(\\d{1,2})}");

    private final System.Logger mLogger;
    private final LogFields mFields;

    private Log(System.Logger logger, LogFields fields) {
        mLogger = logger;
        mFields = fields;
    }

    /** Returns the logger of a component, for example {@code route}. */
    public static Log of(String part) {
        return new Log(System.getLogger(ROOT + part), LogFields.NONE);
    }

    /** Returns a logger that adds a named field to each record, for example a request id. */
    public Log with(String name, Object value) {
        return new Log(mLogger, mFields.with(name, value));
    }

    /** Logs at level DEBUG; {@code {0}} is replaced by the first argument. */
    public void debug(String message, Object... arguments) {
        log(System.Logger.Level.DEBUG, message, arguments);
    }

    /** Logs at level INFO. */
    public void info(String message, Object... arguments) {
        log(System.Logger.Level.INFO, message, arguments);
    }

    /** Logs at level WARNING. */
    public void warn(String message, Object... arguments) {
        log(System.Logger.Level.WARNING, message, arguments);
    }

    /** Logs at level ERROR. */
    public void error(String message, Object... arguments) {
        log(System.Logger.Level.ERROR, message, arguments);
    }

    /** Logs an error that ends the process, with its stack trace. */
    void fatal(String message, Throwable cause) {
        StringWriter stack = new StringWriter();
        cause.printStackTrace(new PrintWriter(stack));
        with("stack", stack).error(message);
    }

    private void log(System.Logger.Level level, String message, Object... arguments) {
        if (!mLogger.isLoggable(level)) {
            return;
        }
        mLogger.log(level, NO_BUNDLE, format(message, arguments), mFields);
    }

    /** Replaces placeholders in a single pass, so that arguments cannot contain placeholders. */
    private static String format(String message, Object... arguments) {
        StringBuilder text = new StringBuilder();
        Matcher matcher = ARGUMENT.matcher(message);
        while (matcher.find()) {
            int index = Integer.parseInt(matcher.group(1));
            String value =
                    index < arguments.length ? String.valueOf(arguments[index]) : matcher.group();
            matcher.appendReplacement(text, Matcher.quoteReplacement(value));
        }
        return matcher.appendTail(text).toString();
    }
}
