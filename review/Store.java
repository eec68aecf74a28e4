import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the platform's metadata store: rows with versions, scans, held calls for changes,
 * conditional transactions. It loses nothing, and its answers are linearizable.
 */
final class Store {

  private record Row(String table, String part, String key, String value, long version) {}

  private static final Pattern ENTRY = Pattern.compile("\\{[^{}]*\\}");

  private final Map<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final HttpServer server;
  private final Map<String, Integer> heldCalls = new HashMap<>();
  private long version;

  Store(InetSocketAddress address) throws IOException {
    server = HttpServer.create(address, 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  /** Writes a row as the operator or a server does, and returns once it is acknowledged. */
  synchronized void put(String table, String key, String json) {
    version++;
    keep(new Row(table, "", key, encode(json), version));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    rows.remove(table + "\0\0" + key);
    history.add(new Row(table, "", key, null, version));
    notifyAll();
  }

  private void keep(Row row) {
    rows.put(row.table + "\0" + row.part + "\0" + row.key, row);
    history.add(row);
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = queryOf(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/rows-get" -> answer(exchange, 200, scan(query));
        case "/rows-feed" -> {
          String host = exchange.getRemoteAddress().getAddress().getHostAddress();
          answer(exchange, 200, feed(query, host));
        }
        case "/rows-tx" -> {
          String text = new String(body, StandardCharsets.UTF_8);
          String done = transact(text);
          answer(exchange, done == null ? 412 : 200, done == null ? "{\"rows\":[]}" : done);
        }
        default -> answer(exchange, 404, "{}");
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static void answer(HttpExchange exchange, int status, String json) throws IOException {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private static Map<String, String> queryOf(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int at = pair.indexOf('=');
        query.put(
            pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private synchronized String scan(Map<String, String> query) {
    List<Row> found = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.table.equals(query.get("table"))
          && row.part.equals(query.getOrDefault("part", ""))
          && row.key.compareTo(query.getOrDefault("source", "")) >= 0
          && found.size() < Integer.parseInt(query.getOrDefault("limit", "500"))) {
        found.add(row);
      }
    }
    return page(found);
  }

  /** Returns how many calls for changes of a table have come from an address so far. */
  synchronized int callsForChanges(String table, String host) {
    return heldCalls.getOrDefault(table + " " + host, 0);
  }

  private synchronized String feed(Map<String, String> query, String host)
      throws InterruptedException {
    heldCalls.merge(query.get("table") + " " + host, 1, Integer::sum);
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    while (true) {
      List<Row> changed = new ArrayList<>();
      for (Row row : history) {
        if (row.table.equals(query.get("table")) && row.version > after) {
          changed.add(row);
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || left <= 0) {
        return page(changed);
      }
      wait(left);
    }
  }

  private String page(List<Row> page) {
    StringBuilder json = new StringBuilder("{\"rows\":[");
    for (Row row : page) {
      json.append(json.charAt(json.length() - 1) == '[' ? "" : ",")
          .append("{\"table\":\"" + row.table + "\",\"part\":\"" + row.part + "\",\"tlsKey\":\"")
          .append(row.key + "\",\"ver\":" + row.version)
          .append(row.value == null ? ",\"gone\":true}" : ",\"value\":\"" + row.value + "\"}");
    }
    return json.append("],\"more\":false,").append(tail()).toString();
  }

  private String tail() {
    return "\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
  }

  private synchronized String transact(String body) {
    for (String condition : listOf(body, "expectedRev")) {
      Row row = rows.get(nameOf(condition));
      if ((row == null ? 0 : row.version) != Long.parseLong(field(condition, "ver"))) {
        return null;
      }
    }
    version++;
    for (String put : listOf(body, "put")) {
      keep(new Row(field(put, "table"), field(put, "part"), field(put, "tlsKey"),
          field(put, "value"), version));
    }
    for (String removed : listOf(body, "remove")) {
      rows.remove(nameOf(removed));
      history.add(new Row(field(removed, "table"), field(removed, "part"),
          field(removed, "tlsKey"), null, version));
    }
    notifyAll();
    return "{" + tail();
  }

  private static String nameOf(String entry) {
    return field(entry, "table") + "\0" + field(entry, "part") + "\0" + field(entry, "tlsKey");
  }

  private static List<String> listOf(String body, String name) {
    List<String> entries = new ArrayList<>();
    Matcher list = Pattern.compile("\"" + name + "\"\\s*:\\s*\\[(.*?)\\]").matcher(body);
    if (list.find()) {
      Matcher entry = ENTRY.matcher(list.group(1));
      while (entry.find()) {
        entries.add(entry.group());
      }
    }
    return entries;
  }

  private static String field(String entry, String name) {
    Matcher found =
        Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|(-?[0-9]+))").matcher(entry);
    if (!found.find()) {
      return "";
    }
    return found.group(1) != null ? found.group(1) : found.group(2);
  }
}
