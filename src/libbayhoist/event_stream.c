/* SPDX-License-Identifier: BSD-3-Clause */
/* Parses server-sent events (HTML Living Standard, "Server-sent events") for their ends and ids only. */
#include "bayhoist/event_stream.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define ID_FIELD_ "id:"

static size_t find_end_(const char *data, size_t len);
static bool find_id_(const char *event, size_t len, char out[BH__EVENT_ID_LEN]);
static bool is_number_(const char *text);
static bool is_duplicate_(const BH__EventStream *s, const char *id);

/* Parses the event at the start of `data`. Sets `*event_len` to its length in bytes with the blank line that
 * ends it, or to 0 if it is incomplete. For BH__EVENT_RELAY, counts the event and records its id as the last
 * one. */
BH__EventState bh__event_stream_parse(BH__EventStream *s, const char *data, size_t len, size_t *event_len)
{
	char id[BH__EVENT_ID_LEN];

	*event_len = find_end_(data, len);
	if (!*event_len)
		return BH__EVENT_INCOMPLETE;
	if (find_id_(data, *event_len, id)) {
		if (is_duplicate_(s, id))
			return BH__EVENT_DUPLICATE;
		memcpy(s->last_id, id, sizeof id);
	}
	s->events++;
	return BH__EVENT_RELAY;
}

/* Returns the length of the first event with the blank line that ends it, or 0 if that is not in `data`.
 * Lines end in LF or CR LF. */
static size_t find_end_(const char *data, size_t len)
{
	const char *line = data;
	const char *end = data + len;

	while (line < end) {
		const char *lf = memchr(line, '\n', (size_t)(end - line));
		if (!lf)
			return 0;
		if (lf == line || (lf == line + 1 && *line == '\r'))
			return (size_t)(lf + 1 - data);
		line = lf + 1;
	}
	return 0;
}

/* Copies the event's id to `out`, without white space around it. Returns false if the event has none or it
 * does not fit. */
static bool find_id_(const char *event, size_t len, char out[BH__EVENT_ID_LEN])
{
	const char *line = event;
	const char *end = event + len;

	while (line < end) {
		const char *lf = memchr(line, '\n', (size_t)(end - line));
		const char *stop = lf ? lf : end;
		if ((size_t)(stop - line) > strlen(ID_FIELD_) && !memcmp(line, ID_FIELD_, strlen(ID_FIELD_))) {
			const char *from = line + strlen(ID_FIELD_);
			while (from < stop && isspace((unsigned char)*from))
				from++;
			while (stop > from && isspace((unsigned char)stop[-1]))
				stop--;
			if ((size_t)(stop - from) >= BH__EVENT_ID_LEN)
				return false;
			memset(out, 0, BH__EVENT_ID_LEN);
			memcpy(out, from, (size_t)(stop - from));
			return true;
		}
		line = stop + 1;
	}
	return false;
}

/* Returns true if `text` consists of decimal digits, at least one. */
static bool is_number_(const char *text)
{
	for (const char *c = text; *c; c++)
		if (!isdigit((unsigned char)*c))
			return false;
	return *text != '\0';
}

/* Returns true if an event with this id was relayed before. Numeric ids increase, so that all up to the last
 * one were; other ids are only compared with the last one. */
static bool is_duplicate_(const BH__EventStream *s, const char *id)
{
	if (!s->last_id[0])
		return false;
	if (is_number_(s->last_id) && is_number_(id))
		return strtoull(id, NULL, 10) <= strtoull(s->last_id, NULL, 10);
	return !strcmp(id, s->last_id);
}
