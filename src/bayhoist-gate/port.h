/* SPDX-License-Identifier: BSD-3-Clause */
/* What the gateway needs of the platform that it runs on: the headers that callers and endpoints use, the
 * source of routing and of registered endpoints, and memory that engines set aside. A platform's binding
 * fills in a GatePort; nothing else in the gateway knows its names. */
#ifndef BAYHOIST_GATE_PORT_H
#define BAYHOIST_GATE_PORT_H

#include <event2/buffer.h>
#include <event2/http.h>
#include "bayhoist/endpoint_signal.h"
#include "bayhoist/event_stream.h"
#include "bayhoist/message.h"
#include "bayhoist/types.h"

#define REQUEST_ID_LEN 80
#define API_KEY_LEN 200
#define MAC_LEN 200
#define GATE_RECORDS_MAX 16 /* entries that the platform is to record at once */

typedef struct Gate Gate;

/* What a caller says of its request besides what is passed on untouched. */
typedef struct {
	char request_id[REQUEST_ID_LEN];      /* the caller's own name for it; empty: none */
	char key[API_KEY_LEN];                /* API key; empty: none */
	char last_event_id[BH__EVENT_ID_LEN]; /* a stream is to go on after this event; empty: from the start */
	uint64_t time_left_us;                /* that the caller will wait; 0: not said */
	uint64_t prompt_tokens;
	uint64_t max_tokens;    /* of the answer, at most; 0: not said */
	uint64_t likely_tokens; /* of the answer, as the caller guesses; 0: not said */
} RequestMeta;

/* One sending of a request to an endpoint. */
typedef struct {
	const char *endpoint;      /* id that must answer, and no other */
	const char *account;       /* name of the client account; NULL: none */
	const char *last_event_id; /* to go on after; empty: from the start */
	uint64_t time_left_us;
	int urgency; /* 0 is the most urgent; negative: not said */
	unsigned helper_count;
	struct {
		const char *address;
		const char *memory_id; /* set aside there; NULL: none */
	} helper[BH__GRANT_MEMBERS_MAX];
} SendingMeta;

/* What an endpoint says in the head of its answer. */
typedef struct {
	char request_id[REQUEST_ID_LEN];
	char mac[MAC_LEN];              /* shows that the answer is an endpoint's; empty: none */
	char at_fault[BH__ADDRESS_LEN]; /* the endpoint that caused a refusal; empty: not said */
	bool not_run;
	bool has_load;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	BH__Signal signal[BH__SIGNAL_KIND_COUNT];
} AnswerMeta;

/* What becomes of a header. */
typedef enum {
	HEADER_PASS,    /* goes on as it is */
	HEADER_UNKNOWN, /* goes on, too; what it says is known to nobody here */
	HEADER_DROP     /* does not: it is ours to set, or nobody's business */
} HeaderUse;

/* An endpoint to which an order or a question of the gateway's own goes. */
typedef struct {
	const char *address;
	uint64_t endpoint_id;
	uint64_t incarnation; /* see bh__registry_note_start() */
} EndpointRef;

typedef struct GatePort {
	HeaderUse (*read_request_header)(RequestMeta *meta, const char *name, const char *value);
	void (*write_sending_headers)(struct evbuffer *out, const RequestMeta *meta, const SendingMeta *sending);
	HeaderUse (*read_answer_header)(AnswerMeta *meta, const char *name, const char *value);
	/* Headers of an answer of the gateway's own. `retry_after_ms` 0: the caller need not come back. */
	void (*write_own_headers)(struct evbuffer *out, const RequestMeta *meta, uint64_t retry_after_ms);
	/* Whether a status, in itself, says that the request did not run. */
	bool (*status_says_not_run)(int status);

	/* Follows the configuration, and hands it to gate_set_routing(). */
	bool (*start)(Gate *g);
	/* Takes a configuration as the platform told it to another node; the look that showed it to be the newest
	 * was begun at `looked_us`. Returns false, with a log line, if it is wrong. */
	bool (*take_configuration)(Gate *g, const char *text, uint64_t looked_us);
	void (*stop)(Gate *g);
	/* Looks at the platform: whether the configuration is the newest, told by gate_note_look(), or by
	 * gate_note_no_configuration() where there is none yet; or which endpoints there are, told by
	 * gate_note_registry(). A look that is under way is not begun again. `limit_us` is the longest that the
	 * answer may take; 0: as long as usual. */
	void (*read_configuration)(Gate *g);
	void (*read_endpoints)(Gate *g, uint64_t limit_us);
	/* Sends a look at endpoints that is under way once more: the first answer counts. Returns false if it
	 * can't be sent again. */
	bool (*resend_endpoints_read)(Gate *g);
	/* Sets whether a change of the configuration is to be heard of at once, without a look. */
	void (*watch_configuration)(Gate *g, bool wanted);
	/* Reads which nodes did which duty when that was last recorded: each is handed to gate_presume_node(),
	 * the requests that are held to gate_learn_held(), and the end told by gate_note_duties(). While this
	 * node knows no other it is read again. */
	void (*find_duties)(Gate *g);
	/* Records that this node does a duty, for nodes that start. `done` is called once, with whether it is
	 * recorded. */
	void (*record_duty)(Gate *g, const char *duty, const BH__MemberInfo *self,
						void (*done)(void *ctx, bool recorded), void *ctx);
	/* Records which requests are held, for nodes that start, and takes those away that are not any more.
	 * `done` is called once, with whether that is done. */
	void (*record_quarantine)(Gate *g, const BH__QuarantineEntry *entry, unsigned count,
							  void (*done)(void *ctx, bool recorded), void *ctx);
	/* Answers a caller that asks where to go, or the platform that asks whether the node takes callers. */
	void (*answer_directory)(Gate *g, struct evhttp_request *req);
	void (*answer_readiness)(Gate *g, struct evhttp_request *req);

	/* Orders to engines and questions; the signals of their answers go to signals_note_answer(). The first
	 * sets memory aside, or renews that. `done` is called once, with whether it is held. */
	void (*reserve)(Gate *g, const EndpointRef *to, const char *memory_id, uint64_t tokens, uint64_t hold_ms,
					void (*done)(void *ctx, bool held), void *ctx);
	void (*free_memory)(Gate *g, const EndpointRef *to, const char *memory_id);
	/* Asks an engine for its report. `done` is called once, with its pace, or 0 if there was no answer. */
	void (*report)(Gate *g, const EndpointRef *to, void (*done)(void *ctx, double slowdown), void *ctx);
} GatePort;

#endif
