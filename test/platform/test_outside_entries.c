/* SPDX-License-Identifier: BSD-3-Clause */
/* Decoders of what the platform's store, its operators and endpoints write, under texts that no sound writer
 * wrote. Guards against a process that ends, reads beyond a text, or takes a value that its type does not
 * hold. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>
#include "answer_parser.h"
#include "log.h"
#include "mutator.h"
#include "platform.h"

#define ROUNDS 15000
#define NOW_US (1000 * BH__SECOND_US)
#define COLD_MAX_US (3600 * BH__SECOND_US)
#define PORT_MAX 65535

/* What the code under test has told the gateway: lines of the log, and entries that it took. */
static unsigned Taken_;

void log_event(const char *event, const char *format, ...)
{
	(void)event;
	(void)format;
}

void log_error(const char *event, const char *format, ...)
{
	(void)event;
	(void)format;
}

void signals_note_unknown(Gate *g, const char *header)
{
	(void)g;
	assert_true(header[0] != '\0');
}

/* Takes an entry of the record, whose values are within their bounds. */
void gate_merge_quarantined(Gate *g, const BH__QuarantineEntry *e)
{
	(void)g;
	assert_in_range(e->kind, BH__SUBJECT_REQUEST, BH__SUBJECT_PART);
	assert_int_equal(e->state, BH__QUARANTINE_HELD);
	assert_true(e->weight >= BH__QUARANTINE_THRESHOLD_WEIGHT && e->times_held >= 1);
	assert_in_range(e->tie_size, 0, BH__PROMPT_PARTS_MAX);
	assert_in_range(e->crash_count, 0, BH__QUARANTINE_CRASHES_MAX);
	Taken_++;
}

static void run_(const char *const *texts, unsigned count, uint32_t seed, MutatorCheck check)
{
	Sample *sample = g_new0(Sample, count);

	for (unsigned i = 0; i < count; i++)
		sample[i] = (Sample){texts[i], strlen(texts[i])};
	mutator_run(sample, count, seed, mutator_get_rounds(ROUNDS), check, NULL);
	g_free(sample);
}

/* An address that is taken has a host and a port. */
static void check_address_(const char *address, size_t size)
{
	const char *colon;
	char *end;
	unsigned long port;

	assert_non_null(memchr(address, '\0', size));
	colon = strrchr(address, ':');
	assert_true(colon && colon > address && g_ascii_isdigit(colon[1]));
	port = strtoul(colon + 1, &end, 10);
	assert_true(!*end && port >= 1 && port <= PORT_MAX);
}

static void check_endpoint_(const char *text, size_t len, void *ctx)
{
	GError *error = NULL;
	BH__EndpointEntry e;

	(void)ctx;
	if (!platform_decode_endpoint("i-1", text, len, NOW_US, &e, &error)) {
		assert_true(error && error->message[0]);
		g_clear_error(&error);
		return;
	}
	assert_null(error);
	check_address_(e.address, sizeof e.address);
	assert_true(e.service[0] && memchr(e.service, '\0', sizeof e.service));
	assert_non_null(memchr(e.hall, '\0', sizeof e.hall));
	assert_true(!e.cold_until_us || (e.cold_until_us >= NOW_US && e.cold_until_us <= NOW_US + COLD_MAX_US));
}

static void endpoints_are_whole_or_refused_(void **state)
{
	static const char *const Texts[] = {
		"{\"service\":\"web\",\"address\":\"127.0.0.1:80\",\"zone\":\"h1\",\"version\":\"v1\",\"slots\":16,"
		"\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":4,\"born\":1764918000000}",
		"{\"service\":\"llm\",\"address\":\"10.128.0.9:8080\",\"zone\":\"h2\",\"version\":\"v1\",\"slots\":"
		"10,"
		"\"state\":\"draining\",\"cold-remaining-ms\":2500.5,\"stage\":\"dual\",\"models\":[{\"name\":\"m\","
		"\"version\":1,\"adapters\":[]}],\"sequence\":4}",
		"{}",
	};

	(void)state;
	run_(Texts, G_N_ELEMENTS(Texts), 1, check_endpoint_);
}

static void check_node_(const char *text, size_t len, void *ctx)
{
	GError *error = NULL;
	BH__MemberInfo m;

	(void)ctx;
	if (!platform_decode_node("reader", text, len, &m, &error)) {
		assert_true(error && error->message[0]);
		g_clear_error(&error);
		return;
	}
	assert_null(error);
	assert_true(m.name[0] && memchr(m.name, '\0', sizeof m.name));
	assert_non_null(memchr(m.hall, '\0', sizeof m.hall));
	check_address_(m.peer_address, sizeof m.peer_address);
}

static void nodes_are_whole_or_refused_(void **state)
{
	static const char *const Texts[] = {
		"{\"node\":\"n-1\",\"hall\":\"h\",\"peer_address\":\"10.0.0.1:7000\",\"caller_address\":\"10.0.0.1:"
		"80\","
		"\"capacity\":250}",
		"{\"node\":\"n-1\",\"peer_address\":\"10.0.0.1:7000\"}",
	};

	(void)state;
	run_(Texts, G_N_ELEMENTS(Texts), 2, check_node_);
}

static void check_configuration_(const char *text, size_t len, void *ctx)
{
	GError *error = NULL;
	uint64_t version = 0;
	BH__Routing *r = platform_decode_routing(text, len, &version, &error);

	(void)ctx;
	if (!r) {
		assert_true(error && error->message[0]);
		g_clear_error(&error);
		return;
	}
	assert_null(error);
	assert_int_equal(bh__routing_get_version(r), version);
	for (unsigned i = 0; i < bh__routing_get_refusal_count(r); i++)
		assert_true(bh__routing_get_refusal(r, i)[0] != '\0');
	for (unsigned i = 0; i < bh__routing_get_service_count(r); i++)
		assert_true(bh__routing_get_service(r, i)->name[0] != '\0');
	bh__routing_match(r, "a.example", "/x/1");
	bh__routing_find_owner(r, "k1");
	bh__routing_unref(r);
}

static void configurations_are_whole_or_refused_(void **state)
{
	static const char *const Texts[] = {
		"{\"version\":7,\"unknown\":{\"x\":1},\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path-"
		"prefix\":"
		"\"/x/\",\"route-kind\":\"streaming\",\"timeout-ms\":10000,\"target-latency-ms\":300,\"priority\":1,"
		"\"traffic-split\":[{\"service\":\"llm\",\"weight\":90},{\"service\":\"web\",\"weight\":10}],"
		"\"max-attempts\":2,\"allow-anonymous\":false,\"resumable\":true,\"gap_aim_ms\":200}],"
		"\"services\":[{\"name\":\"llm\",\"health-path\":\"/"
		"health\",\"max-connections\":434,\"engine-kind\":{"
		"\"slots\":16,\"kv-tokens\":450000,\"stride\":46,\"step_ms\":0.925,\"per_seq_ms\":0.00483,"
		"\"context_per_k\":0.00254,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,"
		"\"report_lag_ms\":200.0,\"hop_ms\":0.1}},{\"name\":\"web\",\"max-connections\":110}],"
		"\"limits\":{\"max-header-bytes\":1000,\"max-body-bytes\":2000,\"header-timeout-ms\":3000,"
		"\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],\"priority\":3}"
		"]}",
		"{\"version\":8,\"routes\":[],\"services\":[],\"limits\":{},\"tenants\":[]}",
	};

	(void)state;
	run_(Texts, G_N_ELEMENTS(Texts), 3, check_configuration_);
}

/* An entry is taken, or its caller is told that it is not; one whose key names no request never is. */
static void check_held_(const char *text, size_t len, void *ctx)
{
	static const char *const Fingerprints[] = {"0123456789abcdef0123456789abcdef", "", "no fingerprint"};

	(void)ctx;
	for (size_t i = 0; i < G_N_ELEMENTS(Fingerprints); i++) {
		unsigned before = Taken_;
		bool taken = platform_take_held(NULL, Fingerprints[i], text, len);
		assert_int_equal(Taken_, before + taken);
		assert_false(taken && i > 0);
	}
}

static void held_requests_are_whole_or_refused_(void **state)
{
	static const char *const Texts[] = {
		"{\"kind\":\"request\",\"requests\":[\"00000000000000aa\",\"00000000000000ab\"],\"tie\":[\"0\"],"
		"\"tie_size\":0,\"version\":3,\"weight\":6,\"times_held\":1,\"since_ms\":1764918000000,\"crashes\":["
		"\"00000000000000ba\",\"00000000000000bb\"]}",
		"{\"weight\":NaN,\"times_held\":1e999,\"version\":-1e999,\"since_ms\":1e300,\"tie_size\":NaN}",
		"{\"kind\":\"part\",\"tie\":[\"00000000000000ca\"],\"tie_size\":2,\"crashes\":[1,null,{},\"x\",[],2]"
		"}",
	};

	(void)state;
	Taken_ = 0;
	run_(Texts, G_N_ELEMENTS(Texts), 4, check_held_);
	assert_true(Taken_ > ROUNDS / 100);
}

/* What the parser has reported of one answer. */
typedef struct {
	unsigned heads;
	size_t bytes;
} Parsed;

static void on_head_(void *ctx, const OutboundHead *head)
{
	Parsed *p = ctx;

	assert_in_range(head->status, 100, 999);
	assert_non_null(memchr(head->reason, '\0', sizeof head->reason));
	assert_non_null(memchr(head->meta.request_id, '\0', sizeof head->meta.request_id));
	assert_non_null(memchr(head->meta.at_fault, '\0', sizeof head->meta.at_fault));
	assert_null(strstr(head->headers->str, "\r\n\r\n"));
	p->heads++;
}

static void on_body_(void *ctx, const char *data, size_t len)
{
	Parsed *p = ctx;

	(void)data;
	assert_int_equal(p->heads, 1);
	p->bytes += len;
}

/* Reads an answer in two pieces. It has one head, and no more body than was sent. */
static void check_answer_(const char *text, size_t len, void *ctx)
{
	static const AnswerCallbacks Callbacks = {on_head_, on_body_};
	static Gate *gate;
	static GatePort port = {.read_answer_header = platform_read_answer_header};
	Parsed p = {0};
	AnswerParser *a;
	AnswerStatus status = ANSWER_INCOMPLETE;

	(void)ctx;
	if (!gate)
		gate = g_new0(Gate, 1);
	gate->port = &port;
	a = answer_parser_new(gate, false, &Callbacks, &p);
	for (unsigned piece = 0; piece < 2 && status == ANSWER_INCOMPLETE; piece++) {
		struct evbuffer *in = evbuffer_new();
		size_t from = piece ? len / 2 : 0;
		evbuffer_add(in, text + from, piece ? len - from : len / 2);
		status = answer_parser_read(a, in);
		evbuffer_free(in);
	}
	if (status == ANSWER_INCOMPLETE)
		status = answer_parser_finish(a);
	assert_true(status != ANSWER_COMPLETE || p.heads == 1);
	assert_true(p.heads <= 1 && p.bytes <= len);
	answer_parser_delete(a);
}

static void answers_have_one_head_(void **state)
{
	static const char *const Texts[] = {
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Replica-Signature: s\r\nContent-Length: 5\r\n\r\nbytes",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"5\r\nbytes\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: 0.5\r\nServer-Limit: 12\r\nServer-Leaving: "
		"1\r\n"
		"X-Replica-Load: 3,0,8\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nbytes",
		"HTTP/1.0 2\r\nContent-Length: 5\r\n\r\nbytes",
	};

	(void)state;
	run_(Texts, G_N_ELEMENTS(Texts), 5, check_answer_);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(endpoints_are_whole_or_refused_, mutator_tell),
		cmocka_unit_test_teardown(nodes_are_whole_or_refused_, mutator_tell),
		cmocka_unit_test_teardown(configurations_are_whole_or_refused_, mutator_tell),
		cmocka_unit_test_teardown(held_requests_are_whole_or_refused_, mutator_tell),
		cmocka_unit_test_teardown(answers_have_one_head_, mutator_tell),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
