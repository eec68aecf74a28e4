package org.lockdale.soak.standin;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend.Received;
import org.lockdale.platform.RawCaller;
import org.lockdale.soak.standin.CachedParts.Part;

/** Calls for cached parts: those of the platform, and moves between the stand-ins themselves. */
final class CacheCalls {

  private static final String MOVE_PATH = "/part";

  /** A move that takes longer is given up; the part is computed instead. */
  private static final int MOVE_MILLIS = 300;

  private CacheCalls() {}

  /** Answers a call for cached parts; returns whether this is one. */
  static boolean serve(CachedParts cache, Received request, Socket connection) throws IOException {
    QueryStringDecoder uri = new QueryStringDecoder(request.line().split(" ")[1]);
    switch (uri.path()) {
      case "/kv-list" -> answer(connection, cache.list());
      case "/kv-events" -> answer(connection, changes(cache, request, uri));
      case MOVE_PATH -> move(cache, request, connection, uri.parameters());
      default -> {
        return false;
      }
    }
    return true;
  }

  private static String changes(CachedParts cache, Received request, QueryStringDecoder uri)
      throws IOException {
    try {
      long since = Long.parseLong(uri.parameters().get("since").get(0));
      return cache.changes(since, ServerBase.number(request.header("Wait-Ms")));
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
      throw new IOException(ended);
    }
  }

  private static void move(
      CachedParts cache, Received request, Socket connection, Map<String, List<String>> query)
      throws IOException {
    if (request.line().startsWith("PUT")) {
      cache.add(StandardStreams.parse(request.body(), Part.class));
      answer(connection, "");
      return;
    }
    Part part = cache.get(query.get("salt").get(0), query.get("id").get(0));
    answer(connection, part == null ? "" : StandardStreams.json(part));
  }

  private static void answer(Socket connection, String body) throws IOException {
    ServerBase.answer(connection, ServerBase.OK, "", body, "Content-Type: application/json");
  }

  /** Asks another holder for a part; returns null if it has none or doesn't answer. */
  static @Nullable Part fetch(String source, String salt, String id) {
    String query = "?salt=" + URLEncoder.encode(salt, StandardCharsets.UTF_8) + "&id=" + id;
    String body = call(source, "GET " + MOVE_PATH + query, "");
    return body.isEmpty() ? null : StandardStreams.parse(body, Part.class);
  }

  /** Gives parts to another holder. */
  static void save(String destination, List<Part> parts) {
    parts.forEach(part -> call(destination, "PUT " + MOVE_PATH, StandardStreams.json(part)));
  }

  /** Calls a holder directly: links between servers are none of the gateway's. */
  private static String call(String address, String line, String body) {
    int colon = address.lastIndexOf(':');
    InetSocketAddress holder =
        new InetSocketAddress(
            Addresses.realHost(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1)));
    try (RawCaller caller = new RawCaller(holder, MOVE_MILLIS)) {
      caller.setPatience(MOVE_MILLIS);
      caller.send(
          line
              + " HTTP/1.1\r\nHost: holder\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      return caller.read().body();
    } catch (IOException unreachable) {
      return "";
    }
  }
}
