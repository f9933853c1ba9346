/* SPDX-License-Identifier: BSD-3-Clause */
/* What an endpoint of the stand-in says of itself in its answers, that it leaves or wants rest, and what each
 * gateway sends there against that. A gateway is known by its requests' ids, up to the first hyphen. */
#ifndef BAYHOIST_TEST_FAKE_SIGNALS_H
#define BAYHOIST_TEST_FAKE_SIGNALS_H

#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct FakeSignals FakeSignals;

FakeSignals *fake_signals_new(void);
void fake_signals_set_leaving(FakeSignals *s, const char *value);
void fake_signals_set_rest(FakeSignals *s, const char *seconds);
void fake_signals_restart(FakeSignals *s);
void fake_signals_note_arrival(FakeSignals *s, struct evhttp_request *req);
bool fake_signals_wants_rest(const FakeSignals *s);
void fake_signals_answer(FakeSignals *s, struct evhttp_request *req, bool refused);
unsigned fake_signals_count_after_leaving(const FakeSignals *s);
unsigned fake_signals_get_most_in_rest(const FakeSignals *s);
unsigned fake_signals_get_rest_left_ms(const FakeSignals *s, const char *gateway);

#endif
