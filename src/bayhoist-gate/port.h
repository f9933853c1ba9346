/* SPDX-License-Identifier: BSD-3-Clause */
/* The gateway's interface to the platform that it runs on: the headers that callers and endpoints use, the
 * source of the configuration and of the registered endpoints, and the reservation of engine memory. The
 * binding of a platform fills in a GatePort; nothing else in the gateway knows the platform's names. */
#ifndef BAYHOIST_GATE_PORT_H
#define BAYHOIST_GATE_PORT_H

#include <event2/buffer.h>
#include <event2/http.h>
#include "bayhoist/endpoint_signal.h"
#include "bayhoist/event_stream.h"
#include "bayhoist/message.h"
#include "bayhoist/prompt_parts.h"
#include "bayhoist/types.h"

#define REQUEST_ID_LEN BH__REQUEST_ID_LEN
#define GATE_RECORDS_MAX 16 /* quarantine entries in one call of record_quarantine() at most */

typedef struct Gate Gate;

/* What a caller's headers say about its request, apart from those that are passed through unchanged. */
typedef struct {
	char request_id[REQUEST_ID_LEN]; /* id that the caller chose, as bh__text_fit() writes it; empty: none */
	char *request_id_text;           /* the same as the caller wrote it; NULL: none */
	char *key;                       /* API key; NULL: none */
	char *last_event_id;             /* event after which a stream resumes; NULL: from the start */
	uint64_t time_left_us;           /* how long the caller will wait; 0: not given */
	uint64_t prompt_tokens;          /* length of the prompt; 0: not given */
	uint64_t max_tokens;             /* longest answer allowed; 0: not given */
	uint64_t likely_tokens;          /* the caller's estimate of the answer's length; 0: not given */
	BH__PromptParts shared_parts;    /* parts of the prompt that other requests may hold too */
} RequestMeta;

/* The data that the gateway puts into the headers of one dispatch. */
typedef struct {
	const char *endpoint;      /* id of the only endpoint that may answer */
	const char *account;       /* name of the client account; NULL: none */
	const char *last_event_id; /* event after which the stream resumes; empty: from the start */
	uint64_t time_left_us;     /* time until the request's deadline */
	int urgency;               /* 0 is the most urgent; negative: not given */
	unsigned helper_count;     /* number of valid entries in `helper` */
	struct {
		const char *address;
		const char *memory_id;       /* id of the memory reserved there; NULL: none */
	} helper[BH__GRANT_MEMBERS_MAX]; /* engines that prefill parts of the prompt, those with memory first */
} DispatchMeta;

/* What an endpoint's headers say, apart from those that are passed through unchanged. */
typedef struct {
	char request_id[REQUEST_ID_LEN]; /* id of the request that is answered, as bh__text_fit() writes it;
										empty: none */
	bool has_mac;                    /* the answer brings the proof that an endpoint gave it */
	char at_fault[BH__ADDRESS_LEN];  /* address of the endpoint that caused a refusal; empty: not given */
	bool not_run;                    /* the endpoint says that it did not run the request */
	bool has_load;                   /* the next three fields are valid */
	uint32_t running;                /* requests that the endpoint runs */
	uint32_t waiting;                /* requests in its queue */
	uint32_t slots;                  /* requests that it can run at the same time */
	BH__Signal signal[BH__SIGNAL_KIND_COUNT]; /* signals by kind */
} AnswerMeta;

/* What the gateway does with a header. */
typedef enum {
	HEADER_PASS,    /* passes it through unchanged */
	HEADER_UNKNOWN, /* passes it through unchanged and counts it as unknown to the binding */
	HEADER_DROP     /* removes it: the gateway sets it itself, or the receiver has no use for it */
} HeaderAction;

/* The endpoint that a request of the gateway's own goes to. */
typedef struct {
	const char *address;
	uint64_t endpoint_id;
	uint64_t incarnation; /* incarnation of the endpoint, see bh__registry_note_start() */
} EndpointRef;

typedef struct GatePort {
	/* Reads a caller's header into `meta`, and returns what the gateway does with the header. */
	HeaderAction (*read_request_header)(RequestMeta *meta, const char *name, const char *value);
	/* Writes the headers that the binding adds to a dispatched request. */
	void (*write_dispatch_headers)(struct evbuffer *out, const RequestMeta *meta,
								   const DispatchMeta *dispatch);
	/* Reads an endpoint's header into `meta`, and returns what the gateway does with the header. */
	HeaderAction (*read_answer_header)(AnswerMeta *meta, const char *name, const char *value);
	/* Writes the headers of an answer that the gateway gives itself. `retry_after_ms`: when the caller may
	 * retry; 0: no retry is suggested. */
	void (*write_own_headers)(struct evbuffer *out, const RequestMeta *meta, uint64_t retry_after_ms);
	/* Returns true if the HTTP status alone says that the request did not run. */
	bool (*status_says_not_run)(int status);

	/* Starts to read the configuration and hands each new version to gate_set_routing(). Returns false, with
	 * a log line, on failure. */
	bool (*start)(Gate *g);
	/* Takes a configuration that another node read from the platform. `platform_read_us`: when the platform
	 * read that showed it to be the newest began. Returns false, with a log line, if the text is invalid. */
	bool (*take_configuration)(Gate *g, const char *text, uint64_t platform_read_us);
	/* Ends all work for the gateway and frees the binding's state. */
	void (*stop)(Gate *g);
	/* Reads from the platform. read_configuration() checks that the configuration is the newest, and answers
	 * by gate_note_configuration_shown(), by gate_note_configuration_refused() if it can't be decoded, or by
	 * gate_note_no_configuration() if there is none yet. read_endpoints()
	 * reads the registered endpoints and answers by gate_note_registry(). A read that is in progress is not
	 * begun again. `limit_us`: the longest time that the answer may take; 0: the default. */
	void (*read_configuration)(Gate *g);
	void (*read_endpoints)(Gate *g, uint64_t limit_us);
	/* Sends the read of endpoints that is in progress a second time; the first answer counts. Returns false
	 * if it can't be sent again. */
	bool (*resend_endpoints_read)(Gate *g);
	/* Turns the watch on the configuration on or off, which reports a change at once, without a read. */
	void (*watch_configuration)(Gate *g, bool wanted);
	/* Reads the record of duties and of quarantined requests. Hands each node with a duty to
	 * gate_add_unconfirmed_node() and each quarantined request to gate_merge_quarantined(), and reports the
	 * end by gate_note_duties(). Reads again for as long as this node knows no other node. */
	void (*read_duties)(Gate *g);
	/* Records that this node holds a duty, for nodes that start later. Calls `done` once, with true if the
	 * duty is recorded. */
	void (*record_duty)(Gate *g, const char *duty, const BH__MemberInfo *self,
						void (*done)(void *ctx, bool recorded), void *ctx);
	/* Records `count` changed quarantine entries, at most GATE_RECORDS_MAX, for nodes that start later:
	 * writes requests that are quarantined and removes those that no longer are. Calls `done` once, with true
	 * on success. */
	void (*record_quarantine)(Gate *g, const BH__QuarantineEntry *entry, unsigned count,
							  void (*done)(void *ctx, bool recorded), void *ctx);
	/* Answer a caller that asks which nodes take its requests, and the platform that asks whether this node
	 * takes callers. */
	void (*answer_directory)(Gate *g, struct evhttp_request *req);
	void (*answer_readiness)(Gate *g, struct evhttp_request *req);

	/* Requests to engines; the signals in their answers go to signals_note_answer(). reserve() reserves
	 * memory for `tokens` tokens under `memory_id` for `hold_ms`, or renews the reservation, and calls `done`
	 * once, with true if the memory is held. free_memory() ends a reservation. */
	void (*reserve)(Gate *g, const EndpointRef *to, const char *memory_id, uint64_t tokens, uint64_t hold_ms,
					void (*done)(void *ctx, bool held), void *ctx);
	void (*free_memory)(Gate *g, const EndpointRef *to, const char *memory_id);
	/* Reads an engine's report. Calls `done` once with the engine's slowdown factor (1: as fast as its
	 * model), or 0 if there was no answer. */
	void (*report)(Gate *g, const EndpointRef *to, void (*done)(void *ctx, double slowdown), void *ctx);
} GatePort;

#endif
