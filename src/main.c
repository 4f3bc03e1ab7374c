/* wrenshore: a cluster scheduler that terminates idle rented machines. This file parses the command
   line, reads the settings and the properties, and writes the log. */
#include "protocol/ws-json.h"
#include "runtime/ws-runtime.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2

typedef struct {
  char *config;
  char *properties;
  gboolean check_only;
  gboolean show_version;
} Options;

/* Checks the parsed options, and that no other arguments are left on the command line. */
static gboolean
check_arguments(int argc, char **argv, const Options *options)
{
  if (argc > 1) {
    fprintf(stderr, "wrenshore: unexpected argument %s\n", argv[1]);
    return FALSE;
  }
  if (!options->show_version && options->config == NULL) {
    fprintf(stderr, "wrenshore: --config FILE is missing\n");
    return FALSE;
  }
  return TRUE;
}

static gboolean
parse_options(int *argc, char ***argv, Options *options)
{
  GOptionEntry entries[] = { { "config", 0, 0, G_OPTION_ARG_FILENAME, &options->config,
                               "settings of the platform (JSON)", "FILE" },
                             { "properties", 0, 0, G_OPTION_ARG_FILENAME, &options->properties,
                               "operators' own settings (properties)", "FILE" },
                             { "check", 0, 0, G_OPTION_ARG_NONE, &options->check_only,
                               "check both files and end", NULL },
                             { "version", 0, 0, G_OPTION_ARG_NONE, &options->show_version,
                               "show the version and end", NULL },
                             { 0 } };
  g_autoptr(GOptionContext) context = g_option_context_new("- a cluster scheduler");
  g_autoptr(GError) error = NULL;
  g_option_context_add_main_entries(context, entries, NULL);
  g_option_context_set_summary(
      context, "Places jobs on rented machines and gives idle machines back.\n"
               "LOG_LEVEL (error, info, debug) says how much is written to standard error.");
  if (!g_option_context_parse(context, argc, argv, &error)) {
    fprintf(stderr, "wrenshore: %s\n", error->message);
    return FALSE;
  }
  return check_arguments(*argc, *argv, options);
}

static WsSettings *
read_settings(const char *path)
{
  g_autofree char *text = NULL;
  g_autoptr(GError) error = NULL;
  gsize length;
  if (!g_file_get_contents(path, &text, &length, &error)) {
    fprintf(stderr, "wrenshore: %s\n", error->message);
    return NULL;
  }
  g_autoptr(json_t) message = ws_json_parse_with_error(text, length, &error);
  WsSettings *settings = message != NULL ? ws_settings_parse(message, &error) : NULL;
  if (settings == NULL)
    fprintf(stderr, "wrenshore: %s: %s\n", path, error->message);
  return settings;
}

static WsProperties *
read_properties(const char *path, const WsSettings *settings)
{
  g_autoptr(WsProperties) properties = ws_properties_new();
  g_autofree char *text = NULL;
  g_autoptr(GError) error = NULL;
  if (path == NULL)
    return g_steal_pointer(&properties);
  if (!g_file_get_contents(path, &text, NULL, &error)) {
    fprintf(stderr, "wrenshore: %s\n", error->message);
    return NULL;
  }
  if (!ws_properties_parse(properties, text, settings->zones, &error)) {
    fprintf(stderr, "wrenshore: %s: %s\n", path, error->message);
    return NULL;
  }
  return g_steal_pointer(&properties);
}

/* Whether the message comes from this program rather than from a library. */
static gboolean
is_from_this_program(const GLogField *fields, gsize count)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp(fields[i].key, "GLIB_DOMAIN") == 0)
      return strcmp(fields[i].value, G_LOG_DOMAIN) == 0;
  return FALSE;
}

/* Writes info and debug messages only if they come from this program: libraries log every
   connection at these levels. */
static GLogWriterOutput
write_log(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  GLogLevelFlags max_level = GPOINTER_TO_UINT(data);
  gboolean is_info_or_debug = (level & G_LOG_LEVEL_MASK) > G_LOG_LEVEL_MESSAGE;
  if ((level & G_LOG_LEVEL_MASK) > max_level
      || (is_info_or_debug && !is_from_this_program(fields, count)))
    return G_LOG_WRITER_HANDLED;
  g_autofree char *line = g_log_writer_format_fields(level, fields, count, FALSE);
  fprintf(stderr, "%s\n", line);
  return G_LOG_WRITER_HANDLED;
}

/* Warnings are logged at every LOG_LEVEL, since each needs an operator's attention. */
static GLogLevelFlags
log_level(void)
{
  const char *name = g_getenv("LOG_LEVEL");
  if (g_strcmp0(name, "debug") == 0)
    return G_LOG_LEVEL_DEBUG;
  return g_strcmp0(name, "info") == 0 ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_WARNING;
}

static int
run_controller(const WsSettings *settings, const WsProperties *properties)
{
  g_autoptr(GError) error = NULL;
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  g_autoptr(WsRuntime) runtime = ws_runtime_new(settings, properties, &error);
  if (runtime == NULL) {
    fprintf(stderr, "wrenshore: cannot start the HTTP servers: %s\n", error->message);
    return EXIT_FAILURE;
  }
  g_main_loop_run(loop);
  return EXIT_SUCCESS;
}

/* Parses the command line and executes it. Returns the exit status. */
static int
run_command(int argc, char **argv, Options *options)
{
  if (!parse_options(&argc, &argv, options))
    return EXIT_USAGE;
  if (options->show_version) {
    printf("wrenshore %s\n", WS_VERSION);
    return EXIT_SUCCESS;
  }
  g_log_set_writer_func(write_log, GUINT_TO_POINTER(log_level()), NULL);
  g_autoptr(WsSettings) settings = read_settings(options->config);
  if (settings == NULL)
    return EXIT_USAGE;
  g_autoptr(WsProperties) properties = read_properties(options->properties, settings);
  if (properties == NULL)
    return EXIT_USAGE;
  if (options->check_only) {
    printf("wrenshore: the settings are good\n");
    return EXIT_SUCCESS;
  }
  return run_controller(settings, properties);
}

int
main(int argc, char **argv)
{
  Options options = { 0 };
  int status = run_command(argc, argv, &options);
  g_free(options.config);
  g_free(options.properties);
  return status;
}
