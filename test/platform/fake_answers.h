/* SPDX-License-Identifier: BSD-3-Clause */
/* Answers of a stand-in engine that do not continue a stream, or have no end. */
#ifndef BAYHOIST_FAKE_ANSWERS_H
#define BAYHOIST_FAKE_ANSWERS_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>

bool fake_answers_start(struct event_base *base, struct evhttp_request *req, const char *kind,
						unsigned after);

unsigned fake_answers_get_open(void);

#endif
