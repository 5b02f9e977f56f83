package org.amaranthlock.entry.cli;

import java.lang.reflect.Proxy;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/**
 * Registers handlers for signals of the operating system; without a handler, SIGTERM and SIGHUP end the virtual
 * machine.
 *
 * <p>Uses {@code sun.misc.Signal} by reflection, because there is no other API and the compiler warns about direct use.
 */
final class Signals {
    private Signals() {}

    /** Runs {@code action} on SIGTERM. */
    static void onTerminate(Runnable action) {
        register("TERM", action);
    }

    /** Runs {@code action} on SIGHUP. */
    static void onHangUp(Runnable action) {
        register("HUP", action);
    }

    private static void register(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException e) {
            throw new AmaranthlockException(
                    ErrorCode.INTERNAL,
                    "cannot handle SIG" + name + "; run on a JDK with the module jdk.unsupported",
                    e);
        }
    }
}
