/**
 * Typed, checked reading of JSON.
 *
 * The getters return FALSE if the member is missing or of another type, and leave the value alone.
 * Strings are borrowed from the object.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/**
 * Parses a text. The caller owns the value. NULL: the text is no JSON, or an object has a member
 * twice.
 *
 * @body: @length bytes; may be NULL
 */
json_t *ws_json_parse(const char *body, gsize length);

/** The value's compact text, which the caller frees; NULL for NULL. */
char *ws_json_serialize(const json_t *value);

/** A string. */
gboolean ws_json_string(const json_t *object, const char *name, const char **value);

/** A number, also an integer. */
gboolean ws_json_number(const json_t *object, const char *name, double *value);

/** An integer that isn't negative. */
gboolean ws_json_uint64(const json_t *object, const char *name, guint64 *value);

/** A boolean. */
gboolean ws_json_bool(const json_t *object, const char *name, gboolean *value);

/** Whether the member is missing or null. */
gboolean ws_json_is_absent(const json_t *object, const char *name);

/** TRUE also if the member is missing or null; the value is then left alone. */
gboolean ws_json_string_or_null(const json_t *object, const char *name, const char **value);

/** TRUE also if the member is missing or null; the value is then left alone. */
gboolean ws_json_number_or_null(const json_t *object, const char *name, double *value);

/** The strings of an array, which the caller frees; NULL: it is no array of strings alone. */
char **ws_json_string_list(const json_t *list);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)
