/* Typed, checked reading of JSON members. Each getter returns FALSE on a missing or ill-typed
   member; the optional ones also take a null or missing member and leave the value alone. */
#pragma once

#include <glib.h>
#include <jansson.h>

json_t *ws_json_parse(const char *body, gsize length);
char *ws_json_text(const json_t *value);
gboolean ws_json_string(const json_t *object, const char *name, const char **value);
gboolean ws_json_number(const json_t *object, const char *name, double *value);
gboolean ws_json_count(const json_t *object, const char *name, guint64 *value);
gboolean ws_json_bool(const json_t *object, const char *name, gboolean *value);
gboolean ws_json_string_or_null(const json_t *object, const char *name, const char **value);
gboolean ws_json_number_or_null(const json_t *object, const char *name, double *value);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)
