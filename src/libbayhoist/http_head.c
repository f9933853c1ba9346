/* SPDX-License-Identifier: BSD-3-Clause */
/* The head of an HTTP/1 message is taken whole or not at all. Lines may end in LF alone (RFC 9112,
 * section 2.2); a line that is folded into the next one is refused, as section 5.2 allows a gateway to do. */
#include "bayhoist/http_head.h"

#include <string.h>

#define VERSION_ "HTTP/1."
#define VERSION_LEN_ 7U
#define STATUS_AT_ 9U   /* of its first digit in a status line: behind the version's last digit and a blank */
#define STATUS_END_ 12U /* behind its last digit */
#define STATUS_MIN_ 100U /* RFC 9110, section 15: others are invalid */
#define STATUS_MAX_ 599U

/* Where in a head a byte stands. */
typedef enum {
	FIRST_LINE_, /* the status or request line */
	LINE_START_, /* the first byte of a line behind it */
	NAME_,
	VALUE_
} Part_;

static const char *process_byte_(BH__HttpHead *h, unsigned char c);
static const char *process_line_end_(BH__HttpHead *h);
static const char *process_first_line_(BH__HttpHead *h, unsigned char c);
static const char *process_status_line_(BH__HttpHead *h, unsigned char c);
static const char *process_name_(BH__HttpHead *h, unsigned char c);
static bool is_digit_(unsigned char c);
static bool is_token_(unsigned char c);
static bool is_text_(unsigned char c);

/* Prepares for a new head. */
void bh__http_head_init(BH__HttpHead *h, BH__HttpHeadKind kind)
{
	memset(h, 0, sizeof *h);
	h->kind = kind;
	h->part = kind == BH__HTTP_HEAD_TRAILERS ? LINE_START_ : FIRST_LINE_;
}

/* Checks the next bytes, up to the head's end or the first bad byte. Sets `*used` to the number of bytes that
 * belong to the head. What has ended takes no more. */
BH__HttpHeadState bh__http_head_process(BH__HttpHead *h, const char *data, size_t len, size_t *used)
{
	*used = 0;
	while (*used < len && h->state == BH__HTTP_HEAD_INCOMPLETE) {
		h->cause = process_byte_(h, (unsigned char)data[*used]);
		if (h->cause)
			h->state = BH__HTTP_HEAD_BAD;
		else
			(*used)++;
	}
	return h->state;
}

/* Returns the cause if the byte is not allowed where it stands, or NULL. */
static const char *process_byte_(BH__HttpHead *h, unsigned char c)
{
	if (c == '\n')
		return process_line_end_(h);
	if (h->after_cr)
		return "a carriage return within a line";
	if (c == '\r') {
		h->after_cr = true;
		return NULL;
	}
	switch ((Part_)h->part) {
	case FIRST_LINE_:
		return process_first_line_(h, c);
	case LINE_START_:
		if (c == ' ' || c == '\t')
			return "a line that begins with a blank";
		h->part = NAME_;
		return c == ':' ? "a field without a name" : process_name_(h, c);
	case NAME_:
		return process_name_(h, c);
	case VALUE_:
		return is_text_(c) ? NULL : "a control byte in a field's value";
	}
	return NULL;
}

/* Ends a line; an empty one behind the first ends the head. */
static const char *process_line_end_(BH__HttpHead *h)
{
	bool is_empty = h->part == FIRST_LINE_ && !h->line_len;

	h->after_cr = false;
	if (is_empty && h->kind == BH__HTTP_HEAD_REQUEST)
		return NULL;
	if (h->part == FIRST_LINE_ && h->kind == BH__HTTP_HEAD_ANSWER && h->line_len < STATUS_END_)
		return "a status line that is too short";
	if (h->part == NAME_)
		return "a field without a colon";
	if (h->part == LINE_START_)
		h->state = BH__HTTP_HEAD_COMPLETE;
	h->part = LINE_START_;
	return NULL;
}

static const char *process_first_line_(BH__HttpHead *h, unsigned char c)
{
	const char *cause;

	if (h->kind == BH__HTTP_HEAD_ANSWER)
		cause = process_status_line_(h, c);
	else
		cause = is_text_(c) && c != '\t' ? NULL : "a control byte in the request line";
	if (h->line_len < UINT32_MAX)
		h->line_len++;
	return cause;
}

/* Checks a byte of "HTTP/1.1 200 reason", where the blank before an empty reason may be absent. */
static const char *process_status_line_(BH__HttpHead *h, unsigned char c)
{
	uint32_t at = h->line_len;

	if (at < VERSION_LEN_)
		return c == VERSION_[at] ? NULL : "a version that is not HTTP/1";
	if (at == VERSION_LEN_)
		return is_digit_(c) ? NULL : "a version that is not HTTP/1";
	if (at == STATUS_AT_ - 1 || at == STATUS_END_)
		return c == ' ' ? NULL : "a status that has not three digits";
	if (at > STATUS_END_)
		return is_text_(c) ? NULL : "a control byte in the reason";
	if (!is_digit_(c))
		return "a status that has not three digits";
	h->status = h->status * 10 + (c - '0');
	if (at < STATUS_END_ - 1 || (h->status >= STATUS_MIN_ && h->status <= STATUS_MAX_))
		return NULL;
	return "a status out of range";
}

static const char *process_name_(BH__HttpHead *h, unsigned char c)
{
	if (c == ':') {
		h->part = VALUE_;
		return NULL;
	}
	return is_token_(c) ? NULL : "a byte that is not allowed in a field's name";
}

static bool is_digit_(unsigned char c)
{
	return c >= '0' && c <= '9';
}

/* Returns true if a name may hold the byte (RFC 9110, section 5.6.2). */
static bool is_token_(unsigned char c)
{
	return is_digit_(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
		   (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* Returns true if a value may hold the byte (RFC 9110, section 5.5); bytes over 127 are opaque. */
static bool is_text_(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}
