/* SPDX-License-Identifier: BSD-3-Clause */
/* The platform's VM list: {"vms": [{"name", "peer_address", "leaving"}]}. It lags; it is a hint. */
#include "daemon.h"

#include <event2/http_struct.h>
#include "bayhoist/field.h"
#include "bayhoist/name.h"
#include "clock.h"
#include "web.h"
#include "web_call.h"

#define TIMEOUT_S 2
#define VMS_MAX 100000
#define LIST_MAX_BYTES (16 * 1024 * 1024) /* of that many VMs */
#define LIST_TIME_MAX_MS 4000             /* for all of it */

static void on_list_(struct evhttp_request *req, void *arg);
static void read_vm_(struct json_object *item, BH__Vm *vm);

/* Asks for the list, if the settings name its address. */
void vmlist_poll(Daemon *d)
{
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	WebCall *call;

	if (!d->settings.vm_list_address[0])
		return;
	conn = connect_open(d, d->settings.vm_list_address, false);
	evhttp_connection_set_timeout(conn, TIMEOUT_S);
	call = web_call_new(d->base, conn, on_list_, d);
	web_call_limit(call, LIST_MAX_BYTES, LIST_TIME_MAX_MS);
	req = web_call_get_request(call);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", d->settings.vm_list_address);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	web_call_start(call, EVHTTP_REQ_GET, "/vms");
}

static void on_list_(struct evhttp_request *req, void *arg)
{
	Daemon *d = arg;
	const char *data;
	size_t len;
	struct json_object *root;
	struct json_object *list = NULL;

	if (!req || evhttp_request_get_response_code(req) != 200)
		return;
	web_get_body(req, &data, &len);
	root = bh__json_parse(data, len, NULL);
	if (json_object_is_type(root, json_type_object) && json_object_object_get_ex(root, "vms", &list) &&
		json_object_is_type(list, json_type_array) && json_object_array_length(list) <= VMS_MAX) {
		unsigned count = (unsigned)json_object_array_length(list);
		BH__Vm *vms = g_new0(BH__Vm, count + 1);
		for (unsigned i = 0; i < count; i++)
			read_vm_(json_object_array_get_idx(list, i), &vms[i]);
		bh__node_update_vm_list(d->node, vms, count, clock_now_us());
		g_free(vms);
	}
	json_object_put(root);
}

static void read_vm_(struct json_object *item, BH__Vm *vm)
{
	const char *name = json_object_get_string(json_object_object_get(item, "name"));
	const char *address = json_object_get_string(json_object_object_get(item, "peer_address"));

	bh__name_fit(vm->name, name ? name : "");
	if (address)
		bh__text_copy(vm->peer_address, sizeof vm->peer_address, address); /* what does not fit is none */
	vm->leaving = json_object_get_boolean(json_object_object_get(item, "leaving"));
}
