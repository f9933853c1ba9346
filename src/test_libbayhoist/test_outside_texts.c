/* SPDX-License-Identifier: BSD-3-Clause */
/* Decoders of the library under texts from outside that no sound writer wrote. Guards against a process that
 * ends, reads beyond a text, or takes a value that its type does not hold. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>
#include "bayhoist/answer_assembly.h"
#include "bayhoist/field.h"
#include "bayhoist/http_head.h"
#include "bayhoist/message.h"
#include "mutator.h"

#define ROUNDS 20000
#define SAMPLES_MAX (BH__MESSAGE_TYPE_COUNT * 2)
#define COUNT_MAX 60000
#define REAL_MAX 1000
#define NAMES_MAX 5

/* A resource with a field of each type. */
typedef struct {
	char name[BH__NAME_LEN];
	uint64_t count;
	double share;
	bool open;
	GStrv names;
} Thing;

static const BH__Field Fields_[] = {BH__STRING_FIELD(Thing, name, true),
									BH__U64_FIELD(Thing, count, false, 1, COUNT_MAX),
									BH__REAL_FIELD(Thing, share, 0, REAL_MAX), BH__BOOL_FIELD(Thing, open),
									BH__LIST_FIELD(Thing, names, NAMES_MAX)};

/* A decoded object holds values within its table's bounds; an error says what is wrong. */
static void check_fields_(const char *text, size_t len, void *ctx)
{
	GError *error = NULL;
	struct json_object *o = bh__json_parse(text, len, &error);
	Thing t = {.count = 1};

	(void)ctx;
	assert_true(o || (error && error->message[0]));
	if (!error) {
		if (bh__fields_decode(Fields_, G_N_ELEMENTS(Fields_), o, "thing", &t, &error)) {
			assert_null(error);
			assert_non_null(memchr(t.name, '\0', sizeof t.name));
			assert_in_range(t.count, 1, COUNT_MAX);
			assert_true(t.share >= 0 && t.share <= REAL_MAX);
			assert_true(!t.names || g_strv_length(t.names) <= NAMES_MAX);
		}
		else {
			assert_true(error && error->message[0]);
		}
	}
	g_strfreev(t.names);
	g_clear_error(&error);
	json_object_put(o);
}

static void objects_hold_what_their_table_says_(void **state)
{
	static const char *const Texts[] = {
		"{\"name\":\"a\",\"count\":7,\"share\":0.5,\"open\":true,\"names\":[\"x\",\"y\"]}",
		"{\"name\":\"b\"}",
		"[]",
		"",
	};
	Sample sample[G_N_ELEMENTS(Texts)];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Texts); i++)
		sample[i] = (Sample){Texts[i], strlen(Texts[i])};
	mutator_run(sample, G_N_ELEMENTS(sample), 1, mutator_get_rounds(ROUNDS), check_fields_, NULL);
}

/* What goes to the caller is whole events or comments, and each step takes bytes that are there. A stream
 * that another dispatch continues is checked as one that begins. */
static void check_stream_(const char *text, size_t len, void *ctx)
{
	BH__AnswerAssembly a;
	size_t at = 0;
	size_t event_len;
	BH__EventState state;

	(void)ctx;
	bh__answer_assembly_init(&a, true);
	for (unsigned dispatch = 0; dispatch < 2; dispatch++) {
		bh__answer_assembly_process_dispatch(&a);
		for (at = 0; at < len; at += event_len) {
			event_len = 0;
			state = bh__answer_assembly_process_event(&a, text + at, len - at, &event_len);
			if (state == BH__EVENT_INCOMPLETE || state == BH__EVENT_FOREIGN)
				break;
			assert_in_range(event_len, 1, len - at);
			assert_true(text[at + event_len - 1] == '\n' || text[at + event_len - 1] == '\r');
			if (state != BH__EVENT_DUPLICATE) {
				a.body = BH__ANSWER_BODY_EVENTS;
				bh__answer_assembly_note_forwarded(&a, event_len);
			}
		}
		assert_non_null(memchr(a.events.last_id, '\0', sizeof a.events.last_id));
		assert_non_null(memchr(a.first_id, '\0', sizeof a.first_id));
	}
}

static void streams_are_cut_at_their_events_(void **state)
{
	static const char *const Texts[] = {
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
		"id: 1\r\ndata: a\r\n\r\n: comment\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"data: no id\n\n",
		"id: 99999999999999999999\nretry: 5\ndata\n\n",
		": c\n\n: c\n\nevent: x\nid: b\ndata: {\"a\":1}\n\n",
	};
	Sample sample[G_N_ELEMENTS(Texts)];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Texts); i++)
		sample[i] = (Sample){Texts[i], strlen(Texts[i])};
	mutator_run(sample, G_N_ELEMENTS(sample), 2, mutator_get_rounds(ROUNDS), check_stream_, NULL);
}

/* A message that is taken is one that a node could have sent: its counts fit its arrays, and written and read
 * again it is the same. */
static void check_message_(const char *data, size_t len, void *ctx)
{
	GError *error = NULL;
	BH__Message m;
	BH__Message again;
	char *text;
	char *text_again;
	size_t text_len;
	size_t again_len;

	(void)ctx;
	if (!bh__message_decode(&m, data, len, &error)) {
		assert_true(error && error->message[0]);
		g_clear_error(&error);
		bh__message_finish(&m);
		return;
	}
	assert_null(error);
	assert_in_range(m.type, 0, BH__MESSAGE_TYPE_COUNT - 1);
	if (m.type == BH__MESSAGE_PING || m.type == BH__MESSAGE_ACK) {
		assert_in_range(m.as.ping.update_count, 0, BH__MESSAGE_UPDATES_MAX);
		assert_in_range(m.as.ping.digest_count, 0, BH__MESSAGE_DIGESTS_MAX);
	}
	if (m.type == BH__MESSAGE_SIGNALS)
		assert_in_range(m.as.signals.count, 0, BH__MESSAGE_SIGNALS_MAX);
	text = bh__message_encode(&m, &text_len);
	assert_true(bh__message_decode(&again, text, text_len, &error));
	text_again = bh__message_encode(&again, &again_len);
	assert_int_equal(text_len, again_len);
	assert_memory_equal(text, text_again, text_len);
	free(text_again);
	free(text);
	bh__message_finish(&again);
	bh__message_finish(&m);
}

/* Gives a message of a type that has a list an empty member of it. */
static void fill_(BH__Message *m)
{
	switch (m->type) {
	case BH__MESSAGE_PING:
	case BH__MESSAGE_ACK:
		m->as.ping.update_count = BH__MESSAGE_UPDATES_MAX;
		m->as.ping.digest_count = 1;
		break;
	case BH__MESSAGE_MEMBERS:
		m->as.members.count = 1;
		m->as.members.member = g_new0(BH__MemberInfo, 1);
		break;
	case BH__MESSAGE_SIGNALS:
		m->as.signals.count = 2;
		break;
	case BH__MESSAGE_HOLD:
		m->as.hold.count = 1;
		m->as.hold.grant = g_new0(BH__Grant, 1);
		break;
	case BH__MESSAGE_SYNC_ASK:
	case BH__MESSAGE_SYNC:
		m->as.sync.count = 1;
		m->as.sync.fact = g_new0(BH__EndpointRecord, 1);
		m->as.sync.gone_count = 1;
		m->as.sync.gone = g_new0(BH__EndpointDeparture, 1);
		m->as.sync.hall_count = 1;
		m->as.sync.hall = g_new0(BH__HallDrain, 1);
		break;
	case BH__MESSAGE_QUARANTINE:
		m->as.quarantine.count = 1;
		m->as.quarantine.entry = g_new0(BH__QuarantineEntry, 1);
		break;
	default:
		break;
	}
}

static void messages_are_whole_(void **state)
{
	Sample sample[SAMPLES_MAX];
	unsigned count = 0;

	(void)state;
	for (unsigned i = 0; i < SAMPLES_MAX; i++) {
		BH__Message m = {.type = (BH__MessageType)(i / 2), .from_node = 1, .from_boot = 2};
		if (i % 2)
			fill_(&m);
		if (m.type == BH__MESSAGE_CONFIG_DATA) /* its head is there, and may be empty */
			m.as.config_data.head = g_strdup(i % 2 ? "{}" : "");
		sample[count].text = bh__message_encode(&m, &sample[count].len);
		count++;
		bh__message_finish(&m);
	}
	mutator_run(sample, count, 3, mutator_get_rounds(ROUNDS * 4), check_message_, NULL);
	for (unsigned i = 0; i < count; i++)
		free((char *)sample[i].text);
}

/* A head is taken, up to its end, if and only if the grammar of RFC 9112 has it; the same in two pieces. */
static void check_head_(const char *text, size_t len, void *grammar)
{
	GMatchInfo *match = NULL;
	bool is_head = g_regex_match_full(grammar, text, (gssize)len, 0, G_REGEX_MATCH_ANCHORED, &match, NULL);
	BH__HttpHead h;
	size_t used;
	size_t more;
	gint end = 0;

	bh__http_head_init(&h, BH__HTTP_HEAD_ANSWER);
	assert_int_equal(bh__http_head_process(&h, text, len, &used) == BH__HTTP_HEAD_COMPLETE, is_head);
	assert_int_equal(h.state == BH__HTTP_HEAD_BAD, h.cause != NULL);
	assert_true(h.state != BH__HTTP_HEAD_INCOMPLETE || used == len);
	if (is_head) {
		g_match_info_fetch_pos(match, 0, NULL, &end);
		assert_int_equal(used, end);
		assert_in_range(h.status, 100, 599);
	}
	g_match_info_free(match);
	bh__http_head_init(&h, BH__HTTP_HEAD_ANSWER);
	bh__http_head_process(&h, text, len / 2, &more);
	end = (gint)more;
	bh__http_head_process(&h, text + more, len - more, &more);
	assert_int_equal(h.state == BH__HTTP_HEAD_COMPLETE, is_head);
	assert_int_equal((size_t)end + more, used);
}

static void heads_are_taken_by_their_grammar_(void **state)
{
	static const char *const Texts[] = {
		"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nbytes",
		"HTTP/1.0 404 Not Found\nA:\nB: \tc \t\n\nx",
		"HTTP/1.1 599 \xc3\xa9\r\n!#$%&'*+-.^_`|~09azAZ: \xff\r\n\r\n",
		"HTTP/1.1 100\r\nX-A: b\r\n folded\r\n\r\n",
	};
	GRegex *grammar = g_regex_new("HTTP/1\\.[0-9] [1-5][0-9][0-9]( [\\t\\x20-\\x7e\\x80-\\xff]*)?\\r?\\n"
								  "([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n)*\\r?\\n",
								  G_REGEX_RAW, 0, NULL);
	Sample sample[G_N_ELEMENTS(Texts)];

	(void)state;
	assert_non_null(grammar);
	for (size_t i = 0; i < G_N_ELEMENTS(Texts); i++)
		sample[i] = (Sample){.text = Texts[i], .len = strlen(Texts[i])};
	mutator_run(sample, G_N_ELEMENTS(sample), 4, mutator_get_rounds(ROUNDS), check_head_, grammar);
	g_regex_unref(grammar);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(objects_hold_what_their_table_says_, mutator_tell),
		cmocka_unit_test_teardown(streams_are_cut_at_their_events_, mutator_tell),
		cmocka_unit_test_teardown(messages_are_whole_, mutator_tell),
		cmocka_unit_test_teardown(heads_are_taken_by_their_grammar_, mutator_tell),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
