/* SPDX-License-Identifier: BSD-3-Clause */
/* What operators see of the configuration in force: a log line when its status changes, and metrics. */
#include "gate.h"

#include <json-c/json.h>
#include "clock.h"
#include "log.h"

#define LOGGED_REFUSALS_MAX 8u /* parts of one configuration that have a log line each */

/* Logs the status of the configuration if it has changed since it was last logged. */
void configuration_log_change(Gate *g)
{
	const BH__ConfigurationState *c = &g->configuration;
	BH__ConfigurationStatus status = bh__configuration_state_get_status(c);

	if (status == g->configuration_status_logged)
		return;
	log_event("configuration",
			  "what=state state=%s was=%s version=%" G_GUINT64_FORMAT " refused_parts=%" G_GUINT64_FORMAT
			  " refused_version=%" G_GUINT64_FORMAT,
			  BH__ConfigurationStatusString[status],
			  BH__ConfigurationStatusString[g->configuration_status_logged], c->version, c->refused_parts,
			  c->refused_version);
	g->configuration_status_logged = status;
}

/* Logs which parts of the configuration in force could not be decoded, and why. */
void configuration_log_refusals(const Gate *g)
{
	unsigned count = bh__routing_get_refusal_count(g->routing);

	for (unsigned i = 0; i < MIN(count, LOGGED_REFUSALS_MAX); i++)
		log_error("configuration", "what=part-refused version=%" G_GUINT64_FORMAT " cause=\"%s\"",
				  g->configuration.version, bh__routing_get_refusal(g->routing, i));
	if (count > LOGGED_REFUSALS_MAX)
		log_error("configuration", "what=parts-refused version=%" G_GUINT64_FORMAT " count=%u",
				  g->configuration.version, count);
}

/* Writes, as metrics, the version in force and the newer one that cannot be decoded (0: its number cannot
 * either, or there is none), how many parts of the one in force could not be decoded, the age of the read
 * that showed it to be the newest, the status, and for how long that has held. */
void configuration_write_status(const Gate *g, struct evbuffer *out)
{
	const BH__ConfigurationState *c = &g->configuration;
	BH__ConfigurationStatus status = bh__configuration_state_get_status(c);
	uint64_t now_us = clock_now_us();
	const struct {
		const char *name;
		uint64_t value;
	} all[] = {{"configuration_version", c->version},
			   {"configuration_refused_version", c->refused_version},
			   {"configuration_parts_refused", c->refused_parts},
			   {"configuration_age_ms", c->version ? (now_us - c->newest_read_us) / BH__MS_US : 0},
			   {"configuration_state_ms", (now_us - c->since_us) / BH__MS_US}};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		evbuffer_add_printf(out, "bayhoist_%s %" G_GUINT64_FORMAT "\n", all[i].name, all[i].value);
	evbuffer_add_printf(out, "bayhoist_configuration_state{state=\"%s\"} 1\n",
						BH__ConfigurationStatusString[status]);
}

/* Returns the same for operators as JSON, with the cause of each part that could not be decoded. */
struct json_object *configuration_describe(const Gate *g)
{
	const BH__ConfigurationState *c = &g->configuration;
	BH__ConfigurationStatus status = bh__configuration_state_get_status(c);
	struct json_object *root = json_object_new_object();
	struct json_object *parts = json_object_new_array();
	uint64_t now_us = clock_now_us();

	json_object_object_add(root, "state", json_object_new_string(BH__ConfigurationStatusString[status]));
	json_object_object_add(root, "since_ms", json_object_new_uint64((now_us - c->since_us) / BH__MS_US));
	json_object_object_add(root, "version", json_object_new_uint64(c->version));
	json_object_object_add(root, "age_ms",
						   json_object_new_uint64(c->version ? (now_us - c->newest_read_us) / BH__MS_US : 0));
	if (status == BH__CONFIGURATION_OUTDATED) {
		json_object_object_add(root, "refused_version", json_object_new_uint64(c->refused_version));
		json_object_object_add(root, "cause",
							   json_object_new_string(g->refused_cause ? g->refused_cause : ""));
	}
	for (unsigned i = 0; g->routing && i < bh__routing_get_refusal_count(g->routing); i++)
		json_object_array_add(parts, json_object_new_string(bh__routing_get_refusal(g->routing, i)));
	json_object_object_add(root, "parts_refused", parts);
	return root;
}
