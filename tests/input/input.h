/**
 * Tests of what a controller reads: sound texts are read, malformed ones are refused. All inputs
 * are written as text, so that they can contain what the program's own JSON library can't hold.
 */
#pragma once

#include <glib.h>

/** The place in a reader's text where unknown members may stand: after a brace or after a member.
 */
#define UNKNOWN_MEMBER_MARK '@'

/** A reader of messages, and a sound message for it. */
typedef struct {
  const char *name;
  const char *text; /* with UNKNOWN_MEMBER_MARK in each object */
  /* Returns a description of all that was read from the text, which the caller frees. NULL: the
     text was refused. */
  char *(*read)(const char *text, gsize length);
  gboolean is_limited; /* to the 64 KiB of a request of a user or a worker */
} InputReader;

/** All readers of messages. */
extern const InputReader INPUT_READERS[];
/** The number of readers. */
extern const gsize INPUT_READER_COUNT;

/** Creates what the readers need: settings and a replica. */
void input_readers_init(void);
/** Frees it. */
void input_readers_clear(void);

/** Returns the text of a reader with a member @name and its value at each mark; NULL: with none. */
char *input_text_with_member(const InputReader *reader, const char *name, const char *value);

void test_sound_unknown_values_change_nothing(void);
void test_random_unknown_values_change_nothing(void);
void test_unknown_names_change_nothing(void);
void test_deep_unknown_values_change_nothing(void);
void test_deepest_reply_changes_nothing(void);
void test_white_space_and_escaped_names_change_nothing(void);
void test_malformed_values_are_refused(void);
void test_malformed_texts_are_refused(void);
void test_malformed_text_error_has_place(void);

void test_submission_field_of_wrong_kind_is_named(void);
void test_heartbeat_field_of_wrong_kind_is_named(void);
void test_amounts_are_read_in_any_spelling(void);
void test_large_integers_are_read_and_written_exactly(void);
void test_setting_of_wrong_kind_is_named(void);
void test_damaged_store_reply_is_refused_whole(void);
void test_damaged_entry_costs_only_that_entry(void);
void test_damaged_catalog_is_refused_whole(void);
void test_damaged_record_is_refused_whole(void);

void test_submission_with_large_unknown_integer_is_accepted(void);
void test_heartbeat_with_large_unknown_number_is_answered(void);
void test_heartbeat_with_largest_integers_is_answered(void);
void test_unreadable_answer_of_owner_is_replaced(void);
void test_answer_of_owner_is_passed_on_whole(void);
void test_same_job_in_another_spelling_is_one_job(void);
void test_catalog_with_large_unknown_field_is_stored_without_it(void);
