/* SPDX-License-Identifier: BSD-3-Clause */
/* Parsing of endpoint signals. */
#include "bayhoist/endpoint_signal.h"

#include <glib.h>
#include <string.h>

const char *const BH__SignalKindString[] = {"limit", "leaving", "backoff", "silence"};

/* Parses the value of a signal header into `s`. A value above `max` is reduced to `max`. If an answer has
 * several headers of one kind, the strictest value counts: the lowest limit, or the highest value of another
 * kind. An invalid value does not replace a valid one. */
void bh__signal_parse(BH__Signal *s, BH__SignalKind kind, const char *value, double max)
{
	char *end = NULL;
	double number = g_ascii_strtod(value, &end);
	bool is_number = end != value && !end[strspn(end, " \t")] && number >= 0;
	bool was_given = s->state == BH__SIGNAL_PRESENT;

	if (was_given && !is_number)
		return;
	number = is_number ? MIN(number, max) : 0;
	if (was_given)
		number = kind == BH__SIGNAL_LIMIT ? MIN(number, s->value) : MAX(number, s->value);
	if (!was_given || number != s->value)
		g_strlcpy(s->text, value, sizeof s->text);
	s->state = is_number ? BH__SIGNAL_PRESENT : BH__SIGNAL_INVALID;
	s->value = number;
}
