package org.lockdale.coordination.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests versions of a store that may be restored from an older copy. */
public final class StoreVersionTest {

  @Test
  public void theEraIsComparedFirst() {
    StoreVersion before = new StoreVersion(0, 1_000_000);
    StoreVersion after = new StoreVersion(1, 3);
    assertTrue(before.compareTo(after) < 0);
    assertTrue(before.packed() < after.packed());
  }

  @Test
  public void withoutAnEraThePackedFormIsTheStoresNumber() {
    assertEquals(new StoreVersion(0, 4_711).packed(), 4_711);
  }

  @Test
  public void packedFormsHaveTheSameOrderAndAreExactInJson() {
    Random random = new Random(1);
    for (int example = 0; example < 10_000; example++) {
      StoreVersion left = any(random);
      StoreVersion right = any(random);
      assertEquals(StoreVersion.ofPacked(left.packed()), left);
      assertEquals((long) (double) left.packed(), left.packed());
      int order =
          left.era() == right.era()
              ? Long.compare(left.number(), right.number())
              : Long.compare(left.era(), right.era());
      assertEquals(Integer.signum(left.compareTo(right)), order);
    }
  }

  private static StoreVersion any(Random random) {
    long number = random.nextLong() & StoreVersion.MAX_NUMBER;
    return new StoreVersion(random.nextInt((int) StoreVersion.MAX_ERA + 1), number);
  }

  @Test
  public void whatIsOutOfRangeIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new StoreVersion(-1, 0));
    assertThrows(IllegalArgumentException.class, () -> new StoreVersion(0, -1));
    assertThrows(
        IllegalArgumentException.class, () -> new StoreVersion(StoreVersion.MAX_ERA + 1, 0));
    assertThrows(
        IllegalArgumentException.class, () -> new StoreVersion(0, StoreVersion.MAX_NUMBER + 1));
    assertThrows(IllegalArgumentException.class, () -> StoreVersion.ofPacked(-1));
  }
}
