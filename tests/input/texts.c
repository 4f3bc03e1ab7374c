/**
 * Sound and malformed texts for all readers: unknown members, spelling, white space, nesting.
 */
#include "input/input.h"
#include "protocol/ws-json.h"
#include "ws-random-input.h"

#include <string.h>

/* The longest request body that the protocol allows. */
#define MAX_BODY_BYTES (64 * 1024)
/* The longest page of the store. */
#define MAX_REPLY_BYTES (512 * 1024)
#define MAX_RANDOM_DEPTH 6
#define MAX_RANDOM_MEMBERS 5
#define MAX_RANDOM_DIGITS 40

static const char VALUE_OF_ALL_KINDS[]
    = "{\"größe\":\"日本語 ✓\",\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,\"none\":null,"
      "\"l\":[[],{},true],\"deep\":[[[[[]]]]]}";

/* Values of unknown members: each is valid JSON (RFC 8259). */
static const char *const SOUND_VALUES[] = {
  /* Numbers of any size and spelling. */
  "0",
  "-0",
  "-7",
  "9223372036854775807",
  "9223372036854775808",
  "-9223372036854775808",
  "-9223372036854775809",
  "18446744073709551615",
  "18446744073709551616",
  "123456789012345678901234567890123456789012345678901234567890",
  "0.0",
  "-0.0",
  "1.25",
  "1e5",
  "1E+05",
  "1e-400",
  "1e400",
  "-1E400",
  "0e0",
  "1.000000000000000000000000000000000000000000001",
  /* Strings and escapes. */
  "\"\"",
  "\"größe 日本語 ✓ 😀\"",
  "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"",
  "\"\\u0000\"",
  "\"a\\u0000b\"",
  "\"\\u00e9\\uD83D\\uDE00\"",
  "\"\\ud800\"",
  "\"\\ud800x\"",
  "\"\\udc00\\ud800\"",
  "\"\\ud800\\u0041\"",
  "\"\\\\ud800\"",
  "\"\x7f\"",
  /* Literals and structures. */
  "null",
  "true",
  "false",
  "[]",
  "{}",
  "[[],{},true]",
  "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]",
  " [ 1 ,\t2\r\n] ",
  "{ \"a\" : 1 }",
  /* Names. */
  "{\"a\":1,\"a\":2}",
  "{\"a\":1,\"\\u0061\":{\"b\":[],\"b\":{}}}",
  "{\"\":0}",
  "{\"\\u0000\":1,\"\\u0000\":2}",
  "{\"\\ud800\":1,\"\\udfff\":2}",
  "{\"id\":\"req-9\",\"pecet\":5,\"kusy\":7,\"zmena\":1,\"verze\":0,\"epoch\":9}",
  VALUE_OF_ALL_KINDS,
};

/* Names of unknown members. */
static const char *const UNKNOWN_NAMES[]
    = { "x_labels", "", " ", "größe", "Id", "id\\u0000", "\\u0000", "\\ud800", "\\n", "ID", "id " };

/* Values that aren't JSON. */
static const char *const MALFORMED_VALUES[] = {
  "",
  "01",
  "-01",
  "1.",
  ".5",
  "+1",
  "-",
  "1e",
  "1e+",
  "0x1",
  "1_000",
  "NaN",
  "-Infinity",
  "Infinity",
  "nan",
  "tru",
  "True",
  "nul",
  "'a'",
  "\"a",
  "a",
  "\"\\x41\"",
  "\"\\u12\"",
  "\"\\u12g4\"",
  "\"a\tb\"",
  "\"a\nb\"",
  "\"\x01\"",
  "\"\x1f\"",
  "[1,]",
  "[,1]",
  "[1 2]",
  "[1",
  "1]",
  "{\"a\":1,}",
  "{a:1}",
  "{1:2}",
  "{\"a\" 1}",
  "{\"a\":}",
  "{\"a\"}",
  "{,}",
  "/**/1",
  "1//c\n",
  "#c\n1",
  "\"\xff\"",
  "\"\xc0\x80\"",
  "\"\xc3\"",
  "\"\xe2\x82\"",
  "\"\xed\xa0\x80\"",
  "\v1",
  "1\f",
  "\302\2401",
  "\"\xf5\x80\x80\x80\"",
  "\357\273\2771",
  "1 2",
  "\"a\" \"b\"",
  "(1)",
  "1;",
  "undefined",
  "[1}",
};

/* Asserts that the reader reads the same from the text as from its message without unknowns. */
static void
assert_reads_the_same(const InputReader *reader, const char *text, gsize length)
{
  g_autofree char *plain = input_text_with_member(reader, NULL, NULL);
  g_autofree char *expected = reader->read(plain, strlen(plain));
  g_assert_nonnull(expected);
  g_autofree char *copy = g_memdup2(text, length); /* not terminated, as a body is received */
  g_autofree char *actual = reader->read(copy, length);
  if (g_strcmp0(actual, expected) != 0)
    g_test_message("%s: read %s from %.300s", reader->name, actual, text);
  g_assert_cmpstr(actual, ==, expected);
}

static void
assert_refused(const InputReader *reader, const char *text, gsize length)
{
  g_autofree char *copy = g_memdup2(text, length);
  g_autofree char *actual = reader->read(copy, length);
  if (actual != NULL)
    g_test_message("%s: not refused: %.300s", reader->name, text);
  g_assert_null(actual);
}

static void
assert_member_changes_nothing(const char *name, const char *value)
{
  for (gsize r = 0; r < INPUT_READER_COUNT; r++) {
    g_autofree char *text = input_text_with_member(&INPUT_READERS[r], name, value);
    assert_reads_the_same(&INPUT_READERS[r], text, strlen(text));
  }
}

void
test_sound_unknown_values_change_nothing(void)
{
  for (gsize i = 0; i < G_N_ELEMENTS(SOUND_VALUES); i++)
    assert_member_changes_nothing("x_labels", SOUND_VALUES[i]);
}

void
test_unknown_names_change_nothing(void)
{
  for (gsize i = 0; i < G_N_ELEMENTS(UNKNOWN_NAMES); i++)
    assert_member_changes_nothing(UNKNOWN_NAMES[i], "[1]");
}

/* Random values. */

static void append_random_value(GString *text, GRand *rand, guint depth);

static void
append_digits(GString *text, GRand *rand)
{
  g_string_append_c(text, (char)g_rand_int_range(rand, '1', '9' + 1));
  for (gint i = g_rand_int_range(rand, 0, MAX_RANDOM_DIGITS); i > 0; i--)
    g_string_append_c(text, (char)g_rand_int_range(rand, '0', '9' + 1));
}

static void
append_random_number(GString *text, GRand *rand)
{
  if (g_rand_boolean(rand))
    g_string_append_c(text, '-');
  append_digits(text, rand);
  if (g_rand_boolean(rand)) {
    g_string_append_c(text, '.');
    append_digits(text, rand);
  }
  if (g_rand_boolean(rand)) {
    static const char *const EXPONENTS[] = { "e", "E", "e+", "e-", "E0" };
    g_string_append(text, EXPONENTS[g_rand_int_range(rand, 0, G_N_ELEMENTS(EXPONENTS))]);
    g_string_append_printf(text, "%d", g_rand_int_range(rand, 0, 1000));
  }
}

static void
append_random_string(GString *text, GRand *rand)
{
  static const char *const ESCAPES[] = { "\\\"", "\\\\", "\\/", "\\b", "\\f", "\\n", "\\r", "\\t" };
  g_string_append_c(text, '"');
  for (gint i = g_rand_int_range(rand, 0, 12); i > 0; i--) {
    gunichar c = (gunichar)g_rand_int_range(rand, 0x20, 0x110000);
    switch (g_rand_int_range(rand, 0, 4)) {
    case 0:
      g_string_append(text, ESCAPES[g_rand_int_range(rand, 0, G_N_ELEMENTS(ESCAPES))]);
      break;
    case 1:
      g_string_append_printf(text, "\\u%04x", g_rand_int_range(rand, 0, 0x10000));
      break;
    case 2:
      g_string_append_printf(text, "\\uD8%02X", g_rand_int_range(rand, 0, 0x100));
      break;
    default:
      if (g_unichar_validate(c) && c != '"' && c != '\\')
        g_string_append_unichar(text, c);
    }
  }
  g_string_append_c(text, '"');
}

static void
append_random_space(GString *text, GRand *rand)
{
  static const char SPACES[] = " \t\r\n";
  for (gint i = g_rand_int_range(rand, 0, 3); i > 0; i--)
    g_string_append_c(text, SPACES[g_rand_int_range(rand, 0, 4)]);
}

static void
append_random_members(GString *text, GRand *rand, guint depth, gboolean with_names)
{
  gint count = g_rand_int_range(rand, 0, MAX_RANDOM_MEMBERS);
  for (gint i = 0; i < count; i++) {
    append_random_space(text, rand);
    if (with_names) {
      append_random_string(text, rand);
      append_random_space(text, rand);
      g_string_append_c(text, ':');
    }
    append_random_value(text, rand, depth + 1);
    if (i + 1 < count)
      g_string_append_c(text, ',');
  }
  append_random_space(text, rand);
}

static void
append_random_value(GString *text, GRand *rand, guint depth)
{
  static const char *const LITERALS[] = { "true", "false", "null" };
  append_random_space(text, rand);
  switch (g_rand_int_range(rand, 0, depth < MAX_RANDOM_DEPTH ? 6 : 3)) {
  case 0:
    append_random_number(text, rand);
    break;
  case 1:
    append_random_string(text, rand);
    break;
  case 2:
    g_string_append(text, LITERALS[g_rand_int_range(rand, 0, 3)]);
    break;
  case 3:
    g_string_append_c(text, '[');
    append_random_members(text, rand, depth, FALSE);
    g_string_append_c(text, ']');
    break;
  default:
    g_string_append_c(text, '{');
    append_random_members(text, rand, depth, TRUE);
    g_string_append_c(text, '}');
  }
  append_random_space(text, rand);
}

static char *
random_value(GRand *rand)
{
  GString *text = g_string_new(NULL);
  append_random_value(text, rand, 0);
  return g_string_free(text, FALSE);
}

static void
check_random_unknown_value(GRand *rand)
{
  g_autofree char *value = random_value(rand);
  const InputReader *reader = &INPUT_READERS[g_rand_int_range(rand, 0, (gint)INPUT_READER_COUNT)];
  g_autofree char *text = input_text_with_member(reader, "x_labels", value);
  assert_reads_the_same(reader, text, strlen(text));
}

void
test_random_unknown_values_change_nothing(void)
{
  ws_check_cases(3000, 1, check_random_unknown_value);
}

/* Returns @depth times the opening text, and as many closing brackets, in one value. */
static char *
nested_value(const char *opening, const char *innermost, char closing, guint depth)
{
  GString *text = g_string_new(NULL);
  for (guint i = 0; i < depth; i++)
    g_string_append(text, opening);
  g_string_append(text, innermost);
  for (guint i = 0; i < depth; i++)
    g_string_append_c(text, closing);
  return g_string_free(text, FALSE);
}

/* Returns the reader's message with the value as one unknown member, at its end. */
static char *
text_with_last_member(const InputReader *reader, const char *value)
{
  g_autofree char *plain = input_text_with_member(reader, NULL, NULL);
  return g_strdup_printf("%.*s,\"x_deep\":%s}", (int)strlen(plain) - 1, plain, value);
}

void
test_deep_unknown_values_change_nothing(void)
{
  g_autofree char *lists = nested_value("[", "", ']', MAX_BODY_BYTES / 2 - 1000);
  g_autofree char *objects = nested_value("{\"a\":", "0", '}', MAX_BODY_BYTES / 6 - 1000);
  for (gsize r = 0; r < INPUT_READER_COUNT; r++) {
    const InputReader *reader = &INPUT_READERS[r];
    g_autofree char *with_lists = text_with_last_member(reader, lists);
    g_autofree char *with_objects = text_with_last_member(reader, objects);
    assert_reads_the_same(reader, with_lists, strlen(with_lists));
    assert_reads_the_same(reader, with_objects, strlen(with_objects));
    /* A bracket too few. */
    g_autofree char *unclosed = text_with_last_member(reader, lists + 1);
    assert_refused(reader, unclosed, strlen(unclosed));
  }
}

/* Replies, and requests of peers, may be longer than the requests of users and workers. */
void
test_deepest_reply_changes_nothing(void)
{
  g_autofree char *lists = nested_value("[", "", ']', MAX_REPLY_BYTES / 2);
  for (gsize r = 0; r < INPUT_READER_COUNT; r++) {
    const InputReader *reader = &INPUT_READERS[r];
    g_autofree char *text = text_with_last_member(reader, lists);
    if (reader->is_limited)
      assert_refused(reader, text, strlen(text));
    else
      assert_reads_the_same(reader, text, strlen(text));
  }
}

/* Returns the text with white space around each structural character outside of strings. */
static char *
with_white_space(const char *text)
{
  GString *spaced = g_string_new(" \n");
  gboolean is_in_string = FALSE;
  for (const char *c = text; *c != '\0'; c++) {
    if (*c == '"' && c[-1] != '\\')
      is_in_string = !is_in_string;
    if (!is_in_string && strchr("{}[]:,", *c) != NULL)
      g_string_append_printf(spaced, "\t %c\r\n", *c);
    else
      g_string_append_c(spaced, *c);
  }
  g_string_append(spaced, "\n ");
  return g_string_free(spaced, FALSE);
}

/* Returns the text with the first letter of each name escaped: "id" becomes "\u0069d". */
static char *
with_escaped_names(const char *text)
{
  g_autoptr(GRegex) name = g_regex_new("(?<=[{,])\"([a-z])(?=[a-z_]*\":)", 0, 0, NULL);
  GString *escaped = g_string_new(NULL);
  gint end = 0;
  g_autoptr(GMatchInfo) match = NULL;
  for (g_regex_match(name, text, 0, &match); g_match_info_matches(match);
       g_match_info_next(match, NULL)) {
    gint from, to;
    g_match_info_fetch_pos(match, 0, &from, &to);
    g_string_append_len(escaped, text + end, from - end);
    g_string_append_printf(escaped, "\"\\u%04x", (guint)text[to - 1]);
    end = to;
  }
  g_string_append(escaped, text + end);
  return g_string_free(escaped, FALSE);
}

void
test_white_space_and_escaped_names_change_nothing(void)
{
  for (gsize r = 0; r < INPUT_READER_COUNT; r++) {
    const InputReader *reader = &INPUT_READERS[r];
    g_autofree char *plain = input_text_with_member(reader, NULL, NULL);
    g_autofree char *spaced = with_white_space(plain);
    g_autofree char *escaped = with_escaped_names(plain);
    g_assert_nonnull(strstr(escaped, "\\u00"));
    assert_reads_the_same(reader, spaced, strlen(spaced));
    assert_reads_the_same(reader, escaped, strlen(escaped));
  }
}

/* Malformed texts. */

void
test_malformed_values_are_refused(void)
{
  for (gsize r = 0; r < INPUT_READER_COUNT; r++)
    for (gsize i = 0; i < G_N_ELEMENTS(MALFORMED_VALUES); i++) {
      g_autofree char *text = text_with_last_member(&INPUT_READERS[r], MALFORMED_VALUES[i]);
      assert_refused(&INPUT_READERS[r], text, strlen(text));
    }
}

static void
check_malformed_texts_of(const InputReader *reader)
{
  static const char *const WHOLE_TEXTS[]
      = { "",   " ", "null", "7",  "\"a\"", "true",           "[]",   "[[]]", "{",  "}",   "[", "]",
          "\"", ":", ",",    "{}", "NaN",   "\xef\xbb\xbf{}", "{}{}", "//",   "\v", "\xff" };
  static const char *const TAILS[]
      = { "x", "\"", "\"a", "{}", "{", "[", "}", "]", ",", "t", "n", "1", "-", "/", "\v", "\f" };
  g_autofree char *plain = input_text_with_member(reader, NULL, NULL);
  gsize length = strlen(plain);
  for (gsize i = 0; i < G_N_ELEMENTS(WHOLE_TEXTS); i++)
    assert_refused(reader, WHOLE_TEXTS[i], strlen(WHOLE_TEXTS[i]));
  for (gsize i = 0; i < G_N_ELEMENTS(TAILS); i++) {
    g_autofree char *text = g_strconcat(plain, TAILS[i], NULL);
    assert_refused(reader, text, strlen(text));
  }
  assert_refused(reader, plain, length + 1); /* with the NUL at its end */
  for (gsize i = 0; i < length; i++)
    assert_refused(reader, plain, i); /* cut off */
  g_autofree char *marked = g_strconcat("\xef\xbb\xbf", plain, NULL);
  assert_refused(reader, marked, strlen(marked));
}

void
test_malformed_texts_are_refused(void)
{
  for (gsize r = 0; r < INPUT_READER_COUNT; r++)
    check_malformed_texts_of(&INPUT_READERS[r]);
}

void
test_malformed_text_error_has_place(void)
{
  static const char TEXT[] = "{\"id\":\"req-1\",\n \"secret\": 01}";
  g_autoptr(GError) error = NULL;
  g_assert_null(ws_json_parse_with_error(TEXT, strlen(TEXT), &error));
  g_assert_nonnull(strstr(error->message, "line 2"));
  g_assert_null(strstr(error->message, "secret"));
}
