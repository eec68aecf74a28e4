package org.lockdale.gateway.caller;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.RandomAccess;

/**
 * Immutable parts of a prompt whose ids are sections of one text. A part takes up twelve bytes
 * besides the text; its object exists only while it is used, as callers choose the number of parts.
 */
public final class PromptParts extends AbstractList<PromptPart> implements RandomAccess {

  private static final int INITIAL_CAPACITY = 4;

  private final String text;

  /** Positions in the text at which the ids start. */
  private final int[] starts;

  /** Positions in the text behind the ids. */
  private final int[] ends;

  private final int[] tokens;

  private PromptParts(Builder builder) {
    text = builder.text;
    starts = Arrays.copyOf(builder.starts, builder.size);
    ends = Arrays.copyOf(builder.ends, builder.size);
    tokens = Arrays.copyOf(builder.tokens, builder.size);
  }

  /** Returns an immutable list of the same parts, which is the same one if it is compact. */
  public static List<PromptPart> copyOf(List<PromptPart> parts) {
    return parts instanceof PromptParts ? parts : List.copyOf(parts);
  }

  @Override
  public PromptPart get(int index) {
    return new PromptPart(text.substring(starts[index], ends[index]), tokens[index]);
  }

  @Override
  public int size() {
    return tokens.length;
  }

  /** Collects the parts of one prompt. */
  public static final class Builder {
    private final String text;
    private int[] starts = new int[INITIAL_CAPACITY];
    private int[] ends = new int[INITIAL_CAPACITY];
    private int[] tokens = new int[INITIAL_CAPACITY];
    private int size;

    /**
     * Creates a builder without parts.
     *
     * @param text text that contains the ids
     */
    public Builder(String text) {
      this.text = text;
    }

    /**
     * Adds a part.
     *
     * @param start position in the text at which the id starts
     * @param end position in the text behind the id
     * @param length length of the part in tokens
     */
    public void add(int start, int end, int length) {
      if (size == tokens.length) {
        starts = Arrays.copyOf(starts, 2 * size);
        ends = Arrays.copyOf(ends, 2 * size);
        tokens = Arrays.copyOf(tokens, 2 * size);
      }
      starts[size] = start;
      ends[size] = end;
      tokens[size] = length;
      size++;
    }

    /** Returns the parts in the order in which they were added. */
    public PromptParts build() {
      return new PromptParts(this);
    }
  }
}
