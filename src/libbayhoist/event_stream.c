/* SPDX-License-Identifier: BSD-3-Clause */
/* Parses server-sent events (HTML Living Standard, "Server-sent events") for their ends and ids only. */
#include "bayhoist/event_stream.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define ID_FIELD_ "id:"
#define NUMBER_DIGITS_MAX_ 19 /* of a number that fits 64 bits */

static void read_line_(BH__EventText *e, const char *line, size_t len);
static void read_id_(BH__EventText *e, const char *from, const char *stop);
static bool is_field_(const char *line, size_t len);
static bool is_number_(const char *text);
static uint64_t number_(const char *id);
static bool is_duplicate_(const BH__EventStream *s, const char *id);
static void note_id_(BH__EventStream *s, const char *id);

/* Parses the event at the start of `data`. Sets `*event_len` to its length in bytes with the blank line that
 * ends it, or to 0 if it is incomplete. For BH__EVENT_RELAY, counts the event and records its id as the last
 * one. */
BH__EventState bh__event_stream_parse(BH__EventStream *s, const char *data, size_t len, size_t *event_len)
{
	BH__EventText e;

	bh__event_text_read(&e, data, len);
	*event_len = e.len;
	return bh__event_stream_process(s, &e);
}

/* Reads the event at the start of `data`. Lines end in LF or CR LF. */
void bh__event_text_read(BH__EventText *e, const char *data, size_t len)
{
	const char *line = data;
	const char *end = data + len;

	memset(e, 0, sizeof *e);
	e->is_well_formed = true;
	while (line < end) {
		const char *lf = memchr(line, '\n', (size_t)(end - line));
		size_t line_len;
		if (!lf)
			return;
		line_len = (size_t)(lf - line);
		if (line_len && line[line_len - 1] == '\r')
			line_len--;
		if (!line_len) {
			e->len = (size_t)(lf + 1 - data);
			return;
		}
		read_line_(e, line, line_len);
		line = lf + 1;
	}
}

/* Reads one line of an event. Of several ids the first counts. */
static void read_line_(BH__EventText *e, const char *line, size_t len)
{
	size_t prefix = strlen(ID_FIELD_);

	if (*line == ':') /* a comment */
		return;
	e->has_fields = true;
	if (!is_field_(line, len))
		e->is_well_formed = false;
	else if (!e->id[0] && len > prefix && !memcmp(line, ID_FIELD_, prefix))
		read_id_(e, line + prefix, line + len);
}

/* Takes an event's id, without white space around it. One that is too long, or has control characters, which
 * can't stand in a header, is none. */
static void read_id_(BH__EventText *e, const char *from, const char *stop)
{
	while (from < stop && isspace((unsigned char)*from))
		from++;
	while (stop > from && isspace((unsigned char)stop[-1]))
		stop--;
	if ((size_t)(stop - from) >= BH__EVENT_ID_LEN)
		return;
	for (const char *c = from; c < stop; c++)
		if (iscntrl((unsigned char)*c))
			return;
	memcpy(e->id, from, (size_t)(stop - from));
}

/* Returns true if a line begins with the name of a field and a colon. */
static bool is_field_(const char *line, size_t len)
{
	size_t n = 0;

	while (n < len && (isalnum((unsigned char)line[n]) || line[n] == '-' || line[n] == '_'))
		n++;
	return n > 0 && n < len && line[n] == ':';
}

/* Decides what to do with the next event of a stream, and counts it if it is relayed. */
BH__EventState bh__event_stream_process(BH__EventStream *s, const BH__EventText *e)
{
	if (!e->len)
		return BH__EVENT_INCOMPLETE;
	if (!e->has_fields)
		return BH__EVENT_COMMENT;
	if (e->id[0] && is_duplicate_(s, e->id))
		return BH__EVENT_DUPLICATE;
	s->events++;
	s->ends_unnumbered = !e->id[0];
	if (e->id[0])
		note_id_(s, e->id);
	return BH__EVENT_RELAY;
}

/* Records the id of an event that is relayed. */
static void note_id_(BH__EventStream *s, const char *id)
{
	if (s->numbered++ == 0)
		memcpy(s->first_id, id, sizeof s->first_id);
	else if (!is_number_(id) || !is_number_(s->last_id) || number_(id) != number_(s->last_id) + 1)
		s->skips = true;
	memcpy(s->last_id, id, sizeof s->last_id);
}

/* Returns true if `e`, the first event of another endpoint, goes on after the last one that was relayed. That
 * endpoint began anew if its event has an id that was relayed before, and left events out if ids were
 * numbered one by one until then and are not any more. Without an id nothing shows where it goes on. */
bool bh__event_stream_is_continued_by(const BH__EventStream *s, const BH__EventText *e)
{
	if (!e->is_well_formed || !e->id[0] || is_duplicate_(s, e->id) || !strcmp(e->id, s->first_id))
		return false;
	if (!is_number_(s->last_id))
		return true;
	if (!is_number_(e->id))
		return false;
	return s->skips || s->numbered < 2 || number_(e->id) == number_(s->last_id) + 1;
}

/* Returns true if another endpoint can be told after which event to go on: the last one has an id. */
bool bh__event_stream_can_resume(const BH__EventStream *s)
{
	return s->last_id[0] && !s->ends_unnumbered;
}

/* Returns true if `text` consists of decimal digits, at least one, and fits 64 bits. */
static bool is_number_(const char *text)
{
	size_t digits = strspn(text, "0123456789");

	return digits > 0 && digits <= NUMBER_DIGITS_MAX_ && !text[digits];
}

static uint64_t number_(const char *id)
{
	return strtoull(id, NULL, 10);
}

/* Returns true if an event with this id was relayed before. Numeric ids increase, so that all up to the last
 * one were; other ids are only compared with the last one. */
static bool is_duplicate_(const BH__EventStream *s, const char *id)
{
	if (!s->last_id[0])
		return false;
	if (is_number_(s->last_id) && is_number_(id))
		return number_(id) <= number_(s->last_id);
	return !strcmp(id, s->last_id);
}
