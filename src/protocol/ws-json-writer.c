/* Writes values as JSON texts. libyajl writes the text, since jansson can't write integers above
   2^63 - 1. */
#include "protocol/ws-json.h"

#include <string.h>
#include <yajl/yajl_gen.h>

/* Significant digits of a written real number. */
#define REAL_PRECISION_DIGITS 12
/* Space for the text of any number. */
#define NUMBER_BUFFER_BYTES 64

static void write_value(yajl_gen writer, const json_t *value);

static void
write_string(yajl_gen writer, const char *text, size_t length)
{
  yajl_gen_string(writer, (const unsigned char *)text, length);
}

static void
write_object(yajl_gen writer, const json_t *object)
{
  json_t *members = (json_t *)object; /* jansson's iterators take no constant objects */
  yajl_gen_map_open(writer);
  for (void *member = json_object_iter(members); member != NULL;
       member = json_object_iter_next(members, member)) {
    write_string(writer, json_object_iter_key(member), json_object_iter_key_len(member));
    write_value(writer, json_object_iter_value(member));
  }
  yajl_gen_map_close(writer);
}

static void
write_array(yajl_gen writer, const json_t *array)
{
  size_t i;
  const json_t *item;
  yajl_gen_array_open(writer);
  json_array_foreach(array, i, item) { write_value(writer, item); }
  yajl_gen_array_close(writer);
}

static void
write_integer(yajl_gen writer, const json_t *value)
{
  char text[NUMBER_BUFFER_BYTES];
  gint length
      = g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, (guint64)json_integer_value(value));
  yajl_gen_number(writer, text, (size_t)length);
}

static void
write_real(yajl_gen writer, const json_t *value)
{
  char text[NUMBER_BUFFER_BYTES];
  size_t length = json_dumpb(value, text, sizeof text,
                             JSON_ENCODE_ANY | JSON_REAL_PRECISION(REAL_PRECISION_DIGITS));
  yajl_gen_number(writer, text, length);
}

static void
write_value(yajl_gen writer, const json_t *value)
{
  if (json_is_object(value))
    write_object(writer, value);
  else if (json_is_array(value))
    write_array(writer, value);
  else if (json_is_string(value))
    write_string(writer, json_string_value(value), json_string_length(value));
  else if (json_is_integer(value))
    write_integer(writer, value);
  else if (json_is_real(value))
    write_real(writer, value);
  else if (json_is_boolean(value))
    yajl_gen_bool(writer, json_is_true(value));
  else
    yajl_gen_null(writer);
}

char *
ws_json_serialize(const json_t *value)
{
  if (value == NULL)
    return NULL;
  const unsigned char *text;
  size_t length;
  yajl_gen writer = yajl_gen_alloc(NULL);
  write_value(writer, value);
  yajl_gen_get_buf(writer, &text, &length);
  char *copy = g_strndup((const char *)text, length);
  yajl_gen_free(writer);
  return copy;
}
