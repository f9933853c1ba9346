/* SPDX-License-Identifier: BSD-3-Clause */
/* Signals of an endpoint of the stand-in, and the users' rules on them. */
#include "fake_signals.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "clock.h"
#include "web.h"

#define DRAIN_US UINT64_C(2000000) /* that requests may come for after a gateway was told of a leaving */
#define SLACK_US UINT64_C(500000)  /* the same of a rest */

/* A time in which a gateway is to send nothing. */
typedef struct {
	uint64_t from_us;
	uint64_t until_us;
	unsigned requests;
} Rest;

typedef struct {
	uint64_t leaving_us; /* when it was first told of that; 0: it was not */
	GArray *rests;       /* Rest */
} Gateway;

struct FakeSignals {
	char leaving[24]; /* that its answers say; empty: nothing */
	char rest[24];    /* the same of refusals; empty: it refuses nothing */
	GHashTable *gateways;
	unsigned after_leaving;
};

static void free_gateway_(gpointer gateway);
static Gateway *find_gateway_(FakeSignals *s, struct evhttp_request *req);

FakeSignals *fake_signals_new(void)
{
	FakeSignals *s = g_new0(FakeSignals, 1);

	s->gateways = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_gateway_);
	return s;
}

static void free_gateway_(gpointer gateway)
{
	g_array_unref(((Gateway *)gateway)->rests);
	g_free(gateway);
}

void fake_signals_set_leaving(FakeSignals *s, const char *value)
{
	g_strlcpy(s->leaving, value, sizeof s->leaving);
}

void fake_signals_set_rest(FakeSignals *s, const char *seconds)
{
	g_strlcpy(s->rest, seconds, sizeof s->rest);
}

/* The endpoint starts again: it says nothing, and nobody was told anything. */
void fake_signals_restart(FakeSignals *s)
{
	s->leaving[0] = '\0';
	s->rest[0] = '\0';
	g_hash_table_remove_all(s->gateways);
}

static Gateway *find_gateway_(FakeSignals *s, struct evhttp_request *req)
{
	const char *id = web_get_header(req, "X-Attempt-Id");
	char *name = g_strndup(id ? id : "", id ? strcspn(id, "-") : 0);
	Gateway *g = g_hash_table_lookup(s->gateways, name);

	if (!g) {
		g = g_new0(Gateway, 1);
		g->rests = g_array_new(FALSE, FALSE, sizeof(Rest));
		g_hash_table_insert(s->gateways, g_strdup(name), g);
	}
	g_free(name);
	return g;
}

void fake_signals_note_arrival(FakeSignals *s, struct evhttp_request *req)
{
	Gateway *g = find_gateway_(s, req);
	uint64_t now_us = clock_now_us();

	s->after_leaving += g->leaving_us && now_us > g->leaving_us + DRAIN_US;
	for (guint i = 0; i < g->rests->len; i++) {
		Rest *r = &g_array_index(g->rests, Rest, i);
		r->requests += now_us > r->from_us && now_us < r->until_us;
	}
}

/* Returns true if requests are turned away. */
bool fake_signals_wants_rest(const FakeSignals *s)
{
	return s->rest[0] != '\0';
}

/* Adds to an answer what the endpoint says of itself. */
void fake_signals_answer(FakeSignals *s, struct evhttp_request *req, bool refused)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	Gateway *g = find_gateway_(s, req);
	uint64_t now_us = clock_now_us();

	if (s->leaving[0])
		evhttp_add_header(headers, "Server-Leaving", s->leaving);
	if (!strcmp(s->leaving, "1") && !g->leaving_us)
		g->leaving_us = now_us;
	if (refused && s->rest[0]) {
		Rest r = {.from_us = now_us + SLACK_US,
				  .until_us = now_us + (uint64_t)(g_ascii_strtod(s->rest, NULL) * 1e6)};
		evhttp_add_header(headers, "Retry-After", s->rest);
		g_array_append_val(g->rests, r);
	}
}

/* Returns how many requests came later than allowed after their gateway was told of the leaving. */
unsigned fake_signals_count_after_leaving(const FakeSignals *s)
{
	return s->after_leaving;
}

/* Returns the most requests that one gateway has sent within one rest. */
unsigned fake_signals_get_most_in_rest(const FakeSignals *s)
{
	unsigned most = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Gateway *g = value;
		for (guint i = 0; i < g->rests->len; i++)
			most = MAX(most, g_array_index(g->rests, Rest, i).requests);
	}
	return most;
}

/* Returns for how much longer a gateway is to send nothing. */
unsigned fake_signals_get_rest_left_ms(const FakeSignals *s, const char *gateway)
{
	const Gateway *g = g_hash_table_lookup(s->gateways, gateway);
	uint64_t now_us = clock_now_us();
	uint64_t until_us = now_us;

	for (guint i = 0; g && i < g->rests->len; i++)
		until_us = MAX(until_us, g_array_index(g->rests, Rest, i).until_us);
	return (unsigned)((until_us - now_us) / 1000);
}
