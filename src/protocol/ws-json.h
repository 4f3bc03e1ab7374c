/**
 * JSON texts and typed, checked access to their values.
 *
 * A text is valid if RFC 8259 says so, whatever its members are. Integers from 0 to 2^64 - 1 are
 * held as jansson's integers, with the bits of the unsigned value: code outside of this module
 * reads them with the getters below, and writes them by casting the unsigned value to json_int_t.
 * All other numbers, negative ones included, are held as real numbers.
 *
 * A member whose value can't be held (a number beyond the range of double, a string with U+0000 or
 * with an unpaired surrogate, a name that occurs more than once in its object, more than 32 levels
 * of nesting) is neither absent nor of any type: an unknown member with such a value is ignored,
 * and a getter fails for it.
 *
 * The getters read the member @name of @object, or the item @index of @array, into @value. They
 * return FALSE, and leave @value unchanged, if it is missing or of another type. Strings are
 * borrowed from the object; they contain no U+0000.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/**
 * Parses a JSON text into a value, which the caller unrefs. Returns NULL if the text is not valid
 * JSON or is neither an object nor an array.
 *
 * @body: @length bytes; may be NULL
 */
json_t *ws_json_parse(const char *body, gsize length);

/**
 * Does the same as ws_json_parse(). If the text is not valid, sets @error, which may be NULL, to
 * WS_ERROR_MALFORMED with the reason and the place in the text.
 */
json_t *ws_json_parse_with_error(const char *body, gsize length, GError **error);

/**
 * Does the same for the body of a request of a user or a worker. Sets @error to WS_ERROR_TOO_LARGE
 * if it is longer than the protocol allows.
 */
json_t *ws_json_parse_request(const char *body, gsize length, GError **error);

/** Serializes the value into a compact text, which the caller frees. Returns NULL for NULL. */
char *ws_json_serialize(const json_t *value);

/** Reads a string member. */
gboolean ws_json_string(const json_t *object, const char *name, const char **value);

/** Reads a number member, real or integer. */
gboolean ws_json_number(const json_t *object, const char *name, double *value);

/** Reads an integer member. */
gboolean ws_json_uint64(const json_t *object, const char *name, guint64 *value);

/** Reads an integer item. */
gboolean ws_json_uint64_at(const json_t *array, size_t index, guint64 *value);

/** Reads a string item. */
gboolean ws_json_string_at(const json_t *array, size_t index, const char **value);

/** Reads a boolean member. */
gboolean ws_json_bool(const json_t *object, const char *name, gboolean *value);

/** Returns whether the member is missing or null. */
gboolean ws_json_is_absent(const json_t *object, const char *name);

/** Reads a string member. Returns TRUE and leaves @value unchanged if it is missing or null. */
gboolean ws_json_string_or_null(const json_t *object, const char *name, const char **value);

/** Reads an integer member. Returns TRUE and leaves @value unchanged if it is missing or null. */
gboolean ws_json_uint64_or_null(const json_t *object, const char *name, guint64 *value);

/** Reads a boolean member. Returns TRUE and leaves @value unchanged if it is missing or null. */
gboolean ws_json_bool_or_null(const json_t *object, const char *name, gboolean *value);

/** Reads a number member. Returns TRUE and leaves @value unchanged if it is missing or null. */
gboolean ws_json_number_or_null(const json_t *object, const char *name, double *value);

/** Copies a JSON array of strings; the caller frees the copy. NULL: @list is anything else. */
char **ws_json_string_list(const json_t *list);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)
