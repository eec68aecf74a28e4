import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Wire {

  /** A head: the first line and the headers by lower-case name. */
  record Head(String line, Map<String, String> headers) {

    String get(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }
  }

  private Wire() {}

  /** Reads a head; null if the connection ends before it. */
  static Head head(InputStream in) throws IOException {
    String line = line(in);
    if (line == null || line.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
      int colon = next.indexOf(':');
      headers.put(
          next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          next.substring(colon + 1).trim());
    }
    return new Head(line, headers);
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
  }

  /** Reads a request's body, by its length or in chunks. */
  static byte[] body(InputStream in, Head head) throws IOException {
    if (head.get("content-length") != null) {
      return in.readNBytes(Integer.parseInt(head.get("content-length")));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (head.get("transfer-encoding") != null) {
      int size;
      do {
        size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
        body.write(in.readNBytes(size));
        line(in);
      } while (size > 0);
    }
    return body.toByteArray();
  }
}
