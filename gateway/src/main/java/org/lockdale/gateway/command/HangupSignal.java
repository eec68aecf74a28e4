package org.lockdale.gateway.command;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Keeps SIGHUP from ending the process, as the JVM would have it. The JVM's signal interface is
 * reached by reflection, since no supported interface offers it.
 */
final class HangupSignal {

  private HangupSignal() {}

  /** Runs an action at every SIGHUP. */
  static void onSignal(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> handle(self, method.getName(), arguments, action));
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
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
