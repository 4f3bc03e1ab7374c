/* Reads JSON texts (RFC 8259) into values.

   libyajl reads the text and hands numbers over as text, so that a number of any size is valid. It
   keeps its own stack, so that the nesting of a text doesn't use up the stack of this program. What
   the library accepts beyond RFC 8259 is checked here. */
#include "protocol/ws-json.h"

#include "protocol/ws-error.h"
#include "protocol/ws-limits.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* Values nested more deeply are checked and not kept. No field of a message is nested that deeply.
 */
#define MAX_KEPT_DEPTH 32
/* Numbers with fewer characters than this are copied to the stack, longer ones to the heap. */
#define NUMBER_BUFFER_BYTES 64
#define JSON_WHITE_SPACE " \t\r\n"

/* A value that can't be held in memory: a number out of range, a string with U+0000 or an unpaired
   surrogate, a member whose name occurs more than once, or a value that is nested too deeply. It
   has none of jansson's types, so that a field with this value is neither valid nor absent. Its
   reference count is that of jansson's static values. */
static json_t unreadable = { .type = (json_type)-1, .refcount = (size_t)-1 };

typedef struct {
  yajl_handle parser;
  json_t *root; /* NULL: no value has begun */
  json_t
      *open[MAX_KEPT_DEPTH]; /* the arrays and objects that are not closed yet, outermost first */
  guint depth;               /* the number of them */
  guint unkept_depth;        /* the number of arrays and objects that are open and not kept */
  GString *name;             /* of the member whose value follows */
  gsize end;                 /* the length of the text up to the end of the root */
} Reader;

/* Adds the value to the innermost open array or object, and returns whether it is kept. Takes
   ownership of @value. */
static gboolean
add_value(Reader *reader, json_t *value)
{
  if (reader->unkept_depth > 0) {
    json_decref(value);
    return FALSE;
  }
  if (reader->depth == 0) {
    reader->root = value;
    return TRUE;
  }
  json_t *parent = reader->open[reader->depth - 1];
  if (json_is_array(parent))
    return json_array_append_new(parent, value) == 0;
  size_t size = json_object_size(parent);
  json_object_setn_new_nocheck(parent, reader->name->str, reader->name->len, value);
  if (json_object_size(parent) > size)
    return TRUE;
  json_object_setn_new_nocheck(parent, reader->name->str, reader->name->len, &unreadable);
  return FALSE;
}

static int
on_null(void *data)
{
  (void)add_value(data, json_null());
  return 1;
}

static int
on_boolean(void *data, int value)
{
  (void)add_value(data, json_boolean(value));
  return 1;
}

/* Integers from 0 to 2^64 - 1 are kept as integers, with the bits of the unsigned value; all other
   numbers as real numbers. */
static json_t *
number_value(const char *text)
{
  gboolean is_integer = strpbrk(text, ".eE") == NULL;
  if (is_integer && (text[0] != '-' || strcmp(text, "-0") == 0)) {
    errno = 0;
    guint64 integer = g_ascii_strtoull(text, NULL, 10);
    if (errno == 0)
      return json_integer((json_int_t)integer);
  }
  double real = g_ascii_strtod(text, NULL);
  return isfinite(real) ? json_real(real) : &unreadable;
}

static int
on_number(void *data, const char *digits, size_t length)
{
  Reader *reader = data;
  char buffer[NUMBER_BUFFER_BYTES];
  if (reader->unkept_depth > 0)
    return 1;
  if (length < sizeof buffer) {
    memcpy(buffer, digits, length);
    buffer[length] = '\0';
    (void)add_value(reader, number_value(buffer));
  } else {
    g_autofree char *copy = g_strndup(digits, length);
    (void)add_value(reader, number_value(copy));
  }
  return 1;
}

static int
on_string(void *data, const unsigned char *text, size_t length)
{
  Reader *reader = data;
  if (reader->unkept_depth > 0)
    return 1;
  gboolean has_nul = memchr(text, '\0', length) != NULL;
  (void)add_value(reader, has_nul ? &unreadable : json_stringn_nocheck((const char *)text, length));
  return 1;
}

static int
on_name(void *data, const unsigned char *text, size_t length)
{
  Reader *reader = data;
  if (reader->unkept_depth > 0)
    return 1;
  g_string_truncate(reader->name, 0);
  g_string_append_len(reader->name, (const char *)text, (gssize)length);
  return 1;
}

static void
begin(Reader *reader, json_t *value)
{
  if (reader->unkept_depth == 0 && reader->depth == MAX_KEPT_DEPTH) {
    json_decref(value);
    (void)add_value(reader, &unreadable);
    reader->unkept_depth = 1;
  } else if (add_value(reader, value)) {
    reader->open[reader->depth++] = value;
  } else {
    reader->unkept_depth++;
  }
}

static int
on_begin_object(void *data)
{
  begin(data, json_object());
  return 1;
}

static int
on_begin_array(void *data)
{
  begin(data, json_array());
  return 1;
}

static int
on_end(void *data)
{
  Reader *reader = data;
  if (reader->unkept_depth > 0)
    reader->unkept_depth--;
  else
    reader->depth--;
  if (reader->depth == 0)
    reader->end = yajl_get_bytes_consumed(reader->parser);
  return 1;
}

/* Sets the error to the reason and to the place in the text. */
static void
set_error(GError **error, const char *text, gsize offset, const char *reason)
{
  guint line = 1;
  gsize line_start = 0;
  for (gsize i = 0; i < offset; i++)
    if (text[i] == '\n') {
      line++;
      line_start = i + 1;
    }
  g_set_error(error, WS_ERROR, WS_ERROR_MALFORMED, "line %u, byte %" G_GSIZE_FORMAT ": %s", line,
              offset - line_start + 1, reason);
}

/* Checks what libyajl doesn't: that the text is UTF-8 without overlong forms, surrogates and NUL,
   and that it has no vertical tab or form feed, which the library takes for white space. */
static gboolean
check_characters(const char *text, gsize length, GError **error)
{
  const char *invalid;
  if (!g_utf8_validate_len(text, length, &invalid)) {
    set_error(error, text, (gsize)(invalid - text), "not UTF-8");
    return FALSE;
  }
  invalid = memchr(text, '\v', length);
  if (invalid == NULL)
    invalid = memchr(text, '\f', length);
  if (invalid == NULL)
    return TRUE;
  set_error(error, text, (gsize)(invalid - text), "invalid character");
  return FALSE;
}

static gboolean
may_have_surrogate_escapes(const char *text, gsize length)
{
  return memmem(text, length, "\\ud", 3) != NULL || memmem(text, length, "\\uD", 3) != NULL;
}

/* libyajl decodes an escaped surrogate without its pair to something else, unnoticed. Returns a
   copy of the text in which each of them is replaced by an escaped U+0000, so that a string with
   one can be told apart. The caller frees the copy. */
static char *
replace_unpaired_surrogates(const char *text, gsize length)
{
  static GRegex *escape = NULL;
  if (g_once_init_enter(&escape)) {
    /* Each match is one escape, or a pair of surrogates. The group matches unpaired ones. */
    static const char PATTERN[]
        = "\\\\(?:u[dD][89abAB][[:xdigit:]]{2}\\\\u[dD][c-fC-F][[:xdigit:]]{2}|"
          "u([dD][89a-fA-F][[:xdigit:]]{2})|.)";
    g_once_init_leave(&escape, g_regex_new(PATTERN, G_REGEX_RAW | G_REGEX_OPTIMIZE, 0, NULL));
  }
  char *copy = g_memdup2(text, length);
  g_autoptr(GMatchInfo) match = NULL;
  for (g_regex_match_full(escape, text, (gssize)length, 0, 0, &match, NULL);
       g_match_info_matches(match); g_match_info_next(match, NULL)) {
    gint from = -1, to;
    if (g_match_info_fetch_pos(match, 1, &from, &to) && from >= 0)
      memset(copy + from, '0', (gsize)(to - from));
  }
  return copy;
}

/* Sets the error to that of the parser, which doesn't contain the text. */
static void
set_parser_error(GError **error, yajl_handle parser, const char *text, gsize offset)
{
  unsigned char *reason = yajl_get_error(parser, 0, NULL, 0);
  set_error(error, text, offset, g_strchomp((char *)reason));
  yajl_free_error(parser, reason);
}

/* Whether nothing but white space follows the root. libyajl doesn't notice the beginning of another
   value, such as a quotation mark, at the end of the text. */
static gboolean
ends_with_root(const Reader *reader, const char *text, gsize length)
{
  for (gsize i = reader->end; i < length; i++)
    if (strchr(JSON_WHITE_SPACE, text[i]) == NULL)
      return FALSE;
  return TRUE;
}

static gboolean
parse(Reader *reader, const char *text, gsize length, GError **error)
{
  yajl_status status = yajl_parse(reader->parser, (const unsigned char *)text, length);
  gsize offset = MIN(yajl_get_bytes_consumed(reader->parser), length);
  if (status == yajl_status_ok) {
    status = yajl_complete_parse(reader->parser);
    offset = length;
  }
  if (status != yajl_status_ok) {
    set_parser_error(error, reader->parser, text, offset);
    return FALSE;
  }
  if (!json_is_object(reader->root) && !json_is_array(reader->root)) {
    ws_error_set_not_object(error);
    return FALSE;
  }
  if (!ends_with_root(reader, text, length)) {
    set_error(error, text, reader->end, "more than one value");
    return FALSE;
  }
  return TRUE;
}

static json_t *
read_value(const char *text, gsize length, GError **error)
{
  static const yajl_callbacks CALLBACKS = {
    .yajl_null = on_null,
    .yajl_boolean = on_boolean,
    .yajl_number = on_number,
    .yajl_string = on_string,
    .yajl_start_map = on_begin_object,
    .yajl_map_key = on_name,
    .yajl_end_map = on_end,
    .yajl_start_array = on_begin_array,
    .yajl_end_array = on_end,
  };
  Reader reader = { .name = g_string_new(NULL) };
  reader.parser = yajl_alloc(&CALLBACKS, NULL, &reader);
  yajl_config(reader.parser, yajl_dont_validate_strings, 1); /* check_characters() does */
  gboolean is_valid = parse(&reader, text, length, error);
  yajl_free(reader.parser);
  g_string_free(reader.name, TRUE);
  if (is_valid)
    return reader.root;
  json_decref(reader.root);
  return NULL;
}

json_t *
ws_json_parse_with_error(const char *body, gsize length, GError **error)
{
  if (body == NULL) {
    ws_error_set_not_object(error);
    return NULL;
  }
  if (!check_characters(body, length, error))
    return NULL;
  g_autofree char *repaired
      = may_have_surrogate_escapes(body, length) ? replace_unpaired_surrogates(body, length) : NULL;
  return read_value(repaired != NULL ? repaired : body, length, error);
}

json_t *
ws_json_parse_request(const char *body, gsize length, GError **error)
{
  if (length > WS_MAX_REQUEST_BYTES) {
    g_set_error_literal(error, WS_ERROR, WS_ERROR_TOO_LARGE, "longer than 64 KiB");
    return NULL;
  }
  return ws_json_parse_with_error(body, length, error);
}

json_t *
ws_json_parse(const char *body, gsize length)
{
  return ws_json_parse_with_error(body, length, NULL);
}
