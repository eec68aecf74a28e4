import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A tenant becomes isolated; another tenant's request then runs on memory that its request made. */
final class WallCase {

  /** In force on every node in touch within configApplyMs (2,000); twice that is waited for. */
  private static final long IN_FORCE_MILLIS = 4_000;

  private WallCase() {}

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = run(deployment);
      deployment.note(status == 1 ? "the rule WALL was broken" : "the rule WALL held");
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Deployment deployment) throws Exception {
    var storeAddress = Deployment.address(100);
    Store store = new Store(storeAddress);
    List<Engines.Use> uses = new CopyOnWriteArrayList<>();
    Engines first = new Engines(deployment, "i-0000000a", Deployment.address(21), uses);
    Engines second = new Engines(deployment, "i-0000000b", Deployment.address(22), uses);
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    store.put("op", "config", configuration(11, false));
    store.put("servers", first.id, first.row("za"));
    store.put("servers", second.id, second.row("za"));
    Deployment.Node one = deployment.start("front-za-1", "za", 1, storeAddress);
    Deployment.Node two = deployment.start("front-za-2", "za", 2, storeAddress);
    deployment.awaitReady(one);
    deployment.awaitReady(two);
    Thread.sleep(2_000);

    ask(deployment, one, "a1", "key-amber", "5c1e07a2:3000,91bd3f06:1500,e4402b7d:90");
    ask(deployment, one, "a2", "key-amber", "5c1e07a2:3000,91bd3f06:1500,e4402b7e:90");
    store.put("op", "config", configuration(17, deployment.trouble));
    deployment.note("acknowledged: configuration 17, tenant amber isolated: " + deployment.trouble);
    Thread.sleep(IN_FORCE_MILLIS);
    ask(deployment, one, "b1", "key-birch", "5c1e07a2:3000,91bd3f06:1500,77aa0001:90");
    ask(deployment, two, "b2", "key-birch", "5c1e07a2:3000,91bd3f06:1500,77aa0002:90");
    Thread.sleep(300);

    int broken = 0;
    for (Engines.Use use : uses) {
      boolean others = !use.tenant().equals(use.madeFor());
      boolean isolated = deployment.trouble
          && (use.tenant().equals("amber") || use.madeFor().equals("amber"));
      if (others && isolated) {
        broken++;
        deployment.note("WALL: " + use.request() + " of " + use.tenant() + " ran on part "
            + use.part() + " that " + use.madeBy() + " of " + use.madeFor()
            + " made, and amber is isolated");
      }
    }
    return broken > 0 ? 1 : 0;
  }

  private static String configuration(int version, boolean amberIsolated) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"drafts\",\"host\":\"cards.example\","
        + "\"pathPrefix\":\"/drafts/\",\"kind\":\"streaming\",\"service\":\"llm\",\"timeoutMs\":6000,"
        + "\"targetLatencyMs\":800,\"gapTargetMs\":500,\"maxAttempts\":2,\"priority\":1,"
        + "\"resumable\":true,\"stickySessions\":true}],\"services\":[{\"name\":\"llm\","
        + "\"healthPath\":\"/health\",\"maxConnections\":360,\"engine\":{\"models\":[{\"name\":\"m0\"}],"
        + "\"kvCapacityTokens\":110556,\"kvTokenBytes\":163840,\"stride\":4}}],\"limits\":"
        + "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,"
        + "\"idleTimeoutMs\":60000},\"tenants\":[{\"name\":\"amber\",\"apiKeys\":[\"key-amber\"],"
        + "\"isolated\":" + amberIsolated + "},{\"name\":\"birch\",\"apiKeys\":[\"key-birch\"],"
        + "\"isolated\":false}]}";
  }

  private static void ask(
      Deployment deployment, Deployment.Node node, String id, String key, String prefix)
      throws IOException {
    deployment.note("client sends " + id + " with " + key + " to " + node.name());
    try (Socket connection = new Socket()) {
      connection.connect(node.front(), 1_000);
      connection.setSoTimeout(8_000);
      String request = "POST /drafts/2f HTTP/1.1\r\nHost: cards.example\r\nLockdale-Request-Id: " + id
          + "\r\nLockdale-Model: m0\r\nLockdale-Token-Usage: 4590,3\r\nLockdale-Prefix-Hash: "
          + prefix + "\r\nLockdale-Deadline-Ms: 6000\r\nAuthorization: Bearer " + key
          + "\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello";
      connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(connection.getInputStream());
      Wire.Head head = Wire.head(in);
      String body = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      deployment.note("client gets " + head.line() + " for " + id);
      if (head.status() != 200 || !body.contains("id: 3")) {
        throw new IOException(id + " was not served: " + head.line());
      }
    }
  }
}
