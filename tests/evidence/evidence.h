/**
 * Tests of the /evidence group that are defined outside test-evidence.c.
 */
#pragma once

/* validity.c */
void test_release_holds_exactly_under_one_owner(void);
void test_release_encoding_round_trip(void);

/* flapping.c */
void test_flapping(void);
