package org.lockdale.gateway.command;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles SIGHUP, which would otherwise end the process. The JVM's internal signal API is called by
 * reflection, since no supported API offers signal handlers.
 */
final class HangupSignal {

  private HangupSignal() {}

  /** Runs an action on every SIGHUP. Logs a warning if signals can't be handled. */
  static void onSignal(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handlerProxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> handle(self, method.getName(), arguments, action));
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, handlerProxy);
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | InstantiationException
        | IllegalAccessException
        | InvocationTargetException unavailable) {
      Logger.warn("event=signal-unavailable signal=HUP cause={}", unavailable.toString());
    }
  }

  private static Object handle(Object self, String method, Object[] arguments, Runnable action) {
    return switch (method) {
      case "handle" -> {
        action.run();
        yield null;
      }
      case "equals" -> self == arguments[0];
      case "hashCode" -> System.identityHashCode(self);
      default -> method;
    };
  }
}
