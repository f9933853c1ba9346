/* SPDX-License-Identifier: BSD-3-Clause */
/* Parses the HTTP/1 answer of an endpoint from the bytes of its channel, and reports its head and body. Heads
 * and trailers are checked (bayhoist/http_head.h) ahead of http-parser, which takes blanks for parts of
 * names, joins folded lines and reads a status of any length. */
#include "answer_parser.h"

#include <http_parser.h>
#include <string.h>
#include "bayhoist/http_head.h"

#define HEAD_MAX (32 * 1024)    /* bytes of an answer before its body, interim answers included */
#define FRAMING_MAX (16 * 1024) /* bytes between two parts of a body: chunk extensions, trailers */

struct AnswerParser {
	Gate *gate;
	http_parser parser;
	BH__HttpHead check; /* of the head or the trailers; complete while a body is read */
	const char *cause;  /* why what was read is no answer; NULL: it may be one */
	AnswerCallbacks cb;
	void *ctx;            /* first argument of the callbacks */
	OutboundHead head;    /* head of the answer being read */
	GString *name;        /* name of the header being read */
	GString *value;       /* value of the header being read */
	bool value_started;   /* the parser has reported a part of the header's value */
	size_t head_bytes;    /* bytes read before the answer's body */
	size_t body_bytes;    /* bytes of the body in the piece being parsed */
	size_t framing_bytes; /* bytes read since the last part of the body */
	bool is_in_head;      /* a part of a head, or of the trailers, has been read, and not its end */
	bool head_complete;   /* the head of the final answer has been read */
	bool is_interim;      /* the head being read has a 1xx status */
	bool is_complete;     /* the answer has been read to its end */
	bool is_ended;        /* nothing more is to be reported */
	bool no_body;         /* the request is a HEAD request, so the answer has no body */
};

static bool check_(AnswerParser *a, const char *data, size_t *len);
static bool parse_(AnswerParser *a, const char *data, size_t len, size_t *used);
static bool is_too_long_(AnswerParser *a);
static int on_message_begin_(http_parser *p);
static int on_status_(http_parser *p, const char *at, size_t len);
static int on_header_name_(http_parser *p, const char *at, size_t len);
static int on_header_value_(http_parser *p, const char *at, size_t len);
static int on_headers_complete_(http_parser *p);
static int on_body_(http_parser *p, const char *at, size_t len);
static int on_chunk_header_(http_parser *p);
static int on_message_complete_(http_parser *p);
static void process_header_(AnswerParser *a);
static void clear_head_(AnswerParser *a);

static const http_parser_settings Callbacks_ = {.on_message_begin = on_message_begin_,
												.on_status = on_status_,
												.on_header_field = on_header_name_,
												.on_header_value = on_header_value_,
												.on_headers_complete = on_headers_complete_,
												.on_body = on_body_,
												.on_chunk_header = on_chunk_header_,
												.on_message_complete = on_message_complete_};

/* Hop-by-hop headers, which are not forwarded. */
static const char *const ConnectionHeaders_[] = {"connection",    "keep-alive", "proxy-connection",
												 "trailer",       "upgrade",    "transfer-encoding",
												 "content-length"};

/* Creates the parser of one answer. `no_body`: the answer has a head only. */
AnswerParser *answer_parser_new(Gate *g, bool no_body, const AnswerCallbacks *cb, void *ctx)
{
	AnswerParser *a = g_new0(AnswerParser, 1);

	a->gate = g;
	a->cb = *cb;
	a->ctx = ctx;
	a->no_body = no_body;
	a->name = g_string_new(NULL);
	a->value = g_string_new(NULL);
	http_parser_init(&a->parser, HTTP_RESPONSE);
	a->parser.data = a;
	bh__http_head_init(&a->check, BH__HTTP_HEAD_ANSWER);
	return a;
}

/* Returns why answer_parser_read() has returned ANSWER_BAD. */
const char *answer_parser_get_cause(const AnswerParser *a)
{
	return a->cause ? a->cause : "";
}

/* Returns true if a part of a head has been read, interim or final, or the last chunk of a body, and not the
 * end of the head or of the trailers. */
bool answer_parser_is_in_head(const AnswerParser *a)
{
	return a->is_in_head;
}

void answer_parser_delete(AnswerParser *a)
{
	if (a->head.headers)
		g_string_free(a->head.headers, TRUE);
	g_string_free(a->name, TRUE);
	g_string_free(a->value, TRUE);
	g_free(a);
}

/* Has the parser report nothing more, also if it is in the middle of answer_parser_read(). */
void answer_parser_end(AnswerParser *a)
{
	a->is_ended = true;
}

/* Parses the bytes in `input` and drains them. Returns ANSWER_BAD if they are malformed or the head exceeds
 * HEAD_MAX, or there are more than FRAMING_MAX bytes without any of the body. */
AnswerStatus answer_parser_read(AnswerParser *a, struct evbuffer *input)
{
	while (!a->is_ended && evbuffer_get_length(input) > 0) {
		size_t len = evbuffer_get_contiguous_space(input);
		const char *data = (const char *)evbuffer_pullup(input, (ev_ssize_t)len);
		size_t used = 0;
		bool is_sound = check_(a, data, &len) && parse_(a, data, len, &used);

		if (a->is_ended)
			break;
		evbuffer_drain(input, used);
		if (a->is_complete)
			return ANSWER_COMPLETE;
		if (!is_sound || is_too_long_(a)) {
			a->gate->counters.bad_answers++;
			return ANSWER_BAD;
		}
	}
	return ANSWER_INCOMPLETE;
}

/* Checks bytes of a head or of trailers. Sets `*len` to the number of those that the parser may read now.
 * Returns false if they are bad, of which the parser gets nothing. */
static bool check_(AnswerParser *a, const char *data, size_t *len)
{
	if (a->check.state == BH__HTTP_HEAD_COMPLETE)
		return true;
	if (bh__http_head_process(&a->check, data, *len, len) != BH__HTTP_HEAD_BAD)
		return true;
	a->cause = a->check.cause;
	return false;
}

/* Has http-parser read bytes, and counts them. Sets `*used` to the number of those that it took. Returns
 * false if they are malformed. */
static bool parse_(AnswerParser *a, const char *data, size_t len, size_t *used)
{
	bool had_head = a->head_complete;
	enum http_errno error;

	a->body_bytes = 0;
	*used = http_parser_execute(&a->parser, &Callbacks_, data, len);
	error = HTTP_PARSER_ERRNO(&a->parser);
	if (a->is_ended)
		return true;
	if (had_head)
		a->framing_bytes = a->body_bytes ? 0 : a->framing_bytes + *used;
	else if (!a->head_complete)
		a->head_bytes += *used;
	if (error == HPE_PAUSED && !a->is_complete)
		http_parser_pause(&a->parser, 0); /* before the trailers, see on_chunk_header_() */
	if (error != HPE_OK && error != HPE_PAUSED)
		a->cause = http_errno_description(error);
	return error == HPE_OK || error == HPE_PAUSED;
}

/* Returns true if the head, or what stands between two parts of the body, exceeds its bound. */
static bool is_too_long_(AnswerParser *a)
{
	if (a->head_bytes <= HEAD_MAX && a->framing_bytes <= FRAMING_MAX)
		return false;
	a->cause =
		a->head_bytes > HEAD_MAX ? "a head that is too long" : "too many bytes between parts of a body";
	return true;
}

/* Tells the parser that the endpoint has closed the channel in an orderly way, which completes an answer
 * without a length. */
AnswerStatus answer_parser_finish(AnswerParser *a)
{
	http_parser_execute(&a->parser, &Callbacks_, NULL, 0);
	return a->is_complete ? ANSWER_COMPLETE : ANSWER_INCOMPLETE;
}

/* Prepares for the head of the next interim or final answer. */
static int on_message_begin_(http_parser *p)
{
	AnswerParser *a = p->data;

	clear_head_(a);
	a->is_in_head = true;
	return 0;
}

/* Resets the state of the head being read. */
static void clear_head_(AnswerParser *a)
{
	if (a->head.headers)
		g_string_free(a->head.headers, TRUE);
	memset(&a->head, 0, sizeof a->head);
	a->head.headers = g_string_new(NULL);
	g_string_truncate(a->name, 0);
	g_string_truncate(a->value, 0);
	a->value_started = false;
	a->head_complete = false;
}

/* Appends a part of the reason phrase; what does not fit is dropped. */
static int on_status_(http_parser *p, const char *at, size_t len)
{
	AnswerParser *a = p->data;
	size_t used = strlen(a->head.reason);

	if (used + len < sizeof a->head.reason)
		memcpy(a->head.reason + used, at, len);
	return 0;
}

/* Appends a part of a header name. The first part after a value completes the previous header. Trailers are
 * dropped. */
static int on_header_name_(http_parser *p, const char *at, size_t len)
{
	AnswerParser *a = p->data;

	if (a->head_complete)
		return 0;
	if (a->value_started)
		process_header_(a);
	g_string_append_len(a->name, at, (gssize)len);
	return 0;
}

/* Appends a part of a header value. */
static int on_header_value_(http_parser *p, const char *at, size_t len)
{
	AnswerParser *a = p->data;

	if (a->head_complete)
		return 0;
	a->value_started = true;
	g_string_append_len(a->value, at, (gssize)len);
	return 0;
}

/* Passes the header that was just parsed to the platform port, and appends it to the headers to forward
 * unless it is hop-by-hop or the port drops it. */
static void process_header_(AnswerParser *a)
{
	HeaderAction use;
	bool drop = false;

	for (size_t k = 0; k < G_N_ELEMENTS(ConnectionHeaders_) && !drop; k++)
		drop = !g_ascii_strcasecmp(a->name->str, ConnectionHeaders_[k]);
	if (!g_ascii_strcasecmp(a->name->str, "content-type") &&
		!g_ascii_strncasecmp(a->value->str, "text/event-stream", 17))
		a->head.is_event_stream = true;
	if (!g_ascii_strcasecmp(a->name->str, "content-encoding") &&
		g_ascii_strcasecmp(a->value->str, "identity") != 0)
		a->head.is_encoded = true;
	use = drop ? HEADER_DROP : a->gate->port->read_answer_header(&a->head.meta, a->name->str, a->value->str);
	if (use == HEADER_UNKNOWN)
		signals_note_unknown(a->gate, a->name->str);
	if (use != HEADER_DROP)
		g_string_append_printf(a->head.headers, "%s: %s\r\n", a->name->str, a->value->str);
	g_string_truncate(a->name, 0);
	g_string_truncate(a->value, 0);
	a->value_started = false;
}

/* Reports the head of the final answer to the owner; interim (1xx) answers are skipped. Returns 1 if the
 * parser must not expect a body. */
static int on_headers_complete_(http_parser *p)
{
	AnswerParser *a = p->data;

	if (a->value_started)
		process_header_(a);
	a->is_in_head = false;
	a->is_interim = p->status_code / 100 == 1;
	if (a->is_interim) {
		bh__http_head_init(&a->check, BH__HTTP_HEAD_ANSWER);
		return 1; /* whatever length it names */
	}
	a->head_complete = true;
	a->head.status = (int)p->status_code;
	a->cb.on_head(a->ctx, &a->head);
	return a->no_body ? 1 : 0;
}

/* Passes a part of the body to the owner, unless parsing has ended. */
static int on_body_(http_parser *p, const char *at, size_t len)
{
	AnswerParser *a = p->data;

	a->body_bytes += len;
	if (!a->is_ended)
		a->cb.on_body(a->ctx, at, len);
	return 0;
}

/* Notes the last chunk, behind which only trailers come. The parser pauses, so that these are checked first.
 */
static int on_chunk_header_(http_parser *p)
{
	AnswerParser *a = p->data;

	a->is_in_head = p->content_length == 0;
	if (a->is_in_head) {
		bh__http_head_init(&a->check, BH__HTTP_HEAD_TRAILERS);
		http_parser_pause(p, 1);
	}
	return 0;
}

/* Marks the answer as complete and pauses the parser, unless the message was an interim answer. */
static int on_message_complete_(http_parser *p)
{
	AnswerParser *a = p->data;

	if (a->is_interim) {
		a->is_interim = false;
		return 0;
	}
	a->is_complete = true;
	http_parser_pause(p, 1); /* bytes after the answer belong to no request */
	return 0;
}
