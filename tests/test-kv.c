/* The messages of the key-value store: the exact bytes of paths and requests, and the results of
   parsing valid and malformed responses. */
#include "protocol/ws-kv.h"

#include <string.h>

static json_t *
parse_json(const char *text)
{
  json_t *message = ws_json_parse(text, strlen(text));
  g_assert_nonnull(message);
  return message;
}

static void
assert_text(const json_t *message, const char *expected)
{
  g_autofree char *text = ws_json_serialize(message);
  g_assert_cmpstr(text, ==, expected);
}

static void
test_paths_are_encoded(void)
{
  g_autofree char *first = ws_kv_page_path("w/", NULL, 1000);
  g_autofree char *next = ws_kv_page_path("w/", "w/job/a", 1000);
  g_autofree char *watch = ws_kv_watch_path("w/", G_MAXUINT64, 8000);
  g_autofree char *renewal = ws_kv_lease_renewal_path(7);
  g_assert_cmpstr(first, ==, "/kv?starts=w/&page=1000");
  g_assert_cmpstr(next, ==, "/kv?starts=w/&from=w/job/a&page=1000");
  g_assert_cmpstr(watch, ==, "/follow?starts=w/&from=18446744073709551615&wait_ms=8000");
  g_assert_cmpstr(renewal, ==, "/holds/7/renew");
}

static void
test_page_is_parsed(void)
{
  g_autoptr(json_t) message = parse_json(
      "{\"zmena\":9,\"more\":true,\"pairs\":[{\"k\":\"a\",\"verze\":3,\"value\":{\"x\":1}},"
      "{\"k\":\"c\",\"verze\":5,\"value\":null}]}");
  g_autoptr(WsKvPage) page = ws_kv_page_parse(message);
  g_assert_nonnull(page);
  g_assert_cmpuint(page->revision, ==, 9);
  g_assert_false(page->is_last);
  g_assert_cmpuint(page->items->len, ==, 2);
  const WsKvItem *items = (const WsKvItem *)page->items->data;
  g_assert_cmpstr(items[0].key, ==, "a");
  g_assert_cmpuint(items[0].version, ==, 3);
  assert_text(items[0].value, "{\"x\":1}");
  g_assert_cmpstr(items[1].key, ==, "c");
  assert_text(items[1].value, "null");
}

/* A page without one of its items would say that the item's key doesn't exist. */
static void
test_page_with_malformed_item_is_rejected(void)
{
  static const char *const ITEMS[] = {
    "{\"k\":\"b\",\"verze\":-1,\"value\":{}}",
    "{\"verze\":4,\"value\":{}}",
    "7",
    "{}",
    "{\"k\":\"c\",\"verze\":5}",
  };
  for (gsize i = 0; i < G_N_ELEMENTS(ITEMS); i++) {
    g_autofree char *text = g_strdup_printf("{\"zmena\":9,\"more\":true,\"pairs\":["
                                            "{\"k\":\"a\",\"verze\":3,\"value\":{\"x\":1}},%s]}",
                                            ITEMS[i]);
    g_autoptr(json_t) message = parse_json(text);
    g_assert_null(ws_kv_page_parse(message));
  }
}

/* A page without items is the last one even if it announces more: the request for the next page
   would be the same again. */
static void
test_page_without_items_is_last(void)
{
  static const struct {
    const char *text;
    gboolean is_last;
  } CASES[] = {
    { "{\"zmena\":9,\"more\":true,\"pairs\":[]}", TRUE },
    { "{\"zmena\":9,\"more\":false,\"pairs\":[{\"k\":\"a\",\"verze\":3,\"value\":1}]}", TRUE },
    { "{\"zmena\":9,\"more\":true,\"pairs\":[{\"k\":\"a\",\"verze\":3,\"value\":1}]}", FALSE },
  };
  for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(json_t) message = parse_json(CASES[i].text);
    g_autoptr(WsKvPage) page = ws_kv_page_parse(message);
    g_assert_nonnull(page);
    g_assert_cmpint(page->is_last, ==, CASES[i].is_last);
  }
}

static void
test_malformed_page_is_rejected(void)
{
  static const char *const CASES[] = {
    "{}",
    "[]",
    "{\"more\":true,\"pairs\":[]}",
    "{\"zmena\":\"9\",\"more\":true,\"pairs\":[]}",
    "{\"zmena\":-9,\"more\":true,\"pairs\":[]}",
    "{\"zmena\":9,\"pairs\":[]}",
    "{\"zmena\":9,\"more\":1,\"pairs\":[]}",
    "{\"zmena\":9,\"more\":true}",
    "{\"zmena\":9,\"more\":true,\"pairs\":{}}",
  };
  for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(json_t) message = parse_json(CASES[i]);
    g_assert_null(ws_kv_page_parse(message));
  }
  g_assert_null(ws_kv_page_parse(NULL));
}

static void
test_watch_events_are_parsed(void)
{
  g_autoptr(json_t) message
      = parse_json("{\"zmena\":12,\"log\":[{\"verze\":10,\"set\":\"a\",\"value\":1},"
                   "{\"verze\":11,\"remove\":\"b\",\"value\":2},"
                   "{\"verze\":12,\"touch\":\"d\"}]}");
  g_autoptr(WsKvPage) page = ws_kv_watch_parse(message);
  g_assert_nonnull(page);
  g_assert_cmpuint(page->revision, ==, 12);
  g_assert_cmpuint(page->items->len, ==, 3);
  const WsKvItem *items = (const WsKvItem *)page->items->data;
  g_assert_cmpstr(items[0].key, ==, "a");
  g_assert_cmpint(json_integer_value(items[0].value), ==, 1);
  g_assert_cmpstr(items[1].key, ==, "b");
  g_assert_null(items[1].value);
  g_assert_cmpuint(items[1].version, ==, 11);
  g_assert_null(items[2].key);
}

/* Without one of its events, a response would say that the event's key didn't change. */
static void
test_malformed_watch_response_is_rejected(void)
{
  static const char *const CASES[] = {
    "{\"log\":[]}",
    "{\"zmena\":12}",
    "{\"zmena\":12,\"log\":[{\"verze\":10,\"set\":\"a\",\"value\":1},{\"set\":\"c\",\"value\":3}]}",
    "{\"zmena\":12,\"log\":[{\"verze\":10,\"set\":\"a\"}]}",
    "{\"zmena\":12,\"log\":[{\"verze\":10,\"set\":3,\"value\":1}]}",
    "{\"zmena\":12,\"log\":[{\"verze\":10,\"remove\":null}]}",
    "{\"zmena\":12,\"log\":[7]}",
  };
  for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(json_t) message = parse_json(CASES[i]);
    g_assert_null(ws_kv_watch_parse(message));
  }
  g_assert_null(ws_kv_watch_parse(NULL));
}

static void
test_lease_request_is_encoded_and_grant_parsed(void)
{
  g_autoptr(json_t) request = ws_kv_lease_request_encode(4000);
  assert_text(request, "{\"ttl_ms\":4000}");
  guint64 lease = 5;
  g_autoptr(json_t) malformed = parse_json("{\"najem\":\"8\"}");
  g_assert_false(ws_kv_lease_parse(malformed, &lease));
  g_assert_cmpuint(lease, ==, 5);
  g_autoptr(json_t) granted = parse_json("{\"najem\":8}");
  g_assert_true(ws_kv_lease_parse(granted, &lease));
  g_assert_cmpuint(lease, ==, 8);
}

static void
test_txn_is_encoded(void)
{
  g_autoptr(GArray) conditions = g_array_new(FALSE, FALSE, sizeof(WsKvCondition));
  g_array_set_clear_func(conditions, (GDestroyNotify)ws_kv_condition_clear);
  g_autoptr(GArray) operations = g_array_new(FALSE, FALSE, sizeof(WsKvOperation));
  g_array_set_clear_func(operations, (GDestroyNotify)ws_kv_operation_clear);
  g_autoptr(json_t) empty = ws_kv_txn_encode(conditions, operations);
  assert_text(empty, "{\"if\":[],\"apply\":[]}");
  WsKvCondition condition = { g_strdup("a"), 3 };
  g_array_append_val(conditions, condition);
  WsKvOperation put = { g_strdup("a"), json_integer(1), 0 };
  g_array_append_val(operations, put);
  WsKvOperation leased = { g_strdup("b"), json_null(), 8 };
  g_array_append_val(operations, leased);
  WsKvOperation deletion = { g_strdup("c"), NULL, 0 };
  g_array_append_val(operations, deletion);
  g_autoptr(json_t) message = ws_kv_txn_encode(conditions, operations);
  assert_text(message, "{\"if\":[{\"k\":\"a\",\"verze\":3}],"
                       "\"apply\":[{\"set\":\"a\",\"value\":1},"
                       "{\"set\":\"b\",\"value\":null,\"najem\":8},{\"remove\":\"c\"}]}");
}

static void
test_error_reason_is_parsed(void)
{
  g_autoptr(json_t) expired = parse_json("{\"error\":\"no such lease\"}");
  g_autoptr(json_t) other = parse_json("{\"error\":\"too large\"}");
  g_autoptr(json_t) none = parse_json("{\"error\":7}");
  g_assert_true(ws_kv_error_is_lease_expired(expired));
  g_assert_false(ws_kv_error_is_lease_expired(other));
  g_assert_cmpstr(ws_kv_error_parse(other), ==, "too large");
  g_assert_false(ws_kv_error_is_lease_expired(none));
  g_assert_null(ws_kv_error_parse(none));
  g_assert_null(ws_kv_error_parse(NULL));
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/kv/paths", test_paths_are_encoded);
  g_test_add_func("/kv/page", test_page_is_parsed);
  g_test_add_func("/kv/malformed-items", test_page_with_malformed_item_is_rejected);
  g_test_add_func("/kv/last-page", test_page_without_items_is_last);
  g_test_add_func("/kv/malformed-pages", test_malformed_page_is_rejected);
  g_test_add_func("/kv/watch", test_watch_events_are_parsed);
  g_test_add_func("/kv/malformed-watch", test_malformed_watch_response_is_rejected);
  g_test_add_func("/kv/lease", test_lease_request_is_encoded_and_grant_parsed);
  g_test_add_func("/kv/txn", test_txn_is_encoded);
  g_test_add_func("/kv/errors", test_error_reason_is_parsed);
  return g_test_run();
}
