#include "pipeline/request-frame.h"

#include <stdlib.h>
#include <string.h>

static Peridotstep__Param *
param_new (const RequestParam *param)
{
  Peridotstep__Param *message = malloc (sizeof *message);

  peridotstep__param__init (message);
  message->is_null = param->value == NULL;
  message->format = param->format;
  message->value.len = param->length;
  message->value.data = malloc (param->length + 1);
  if (param->length > 0)
    memcpy (message->value.data, param->value, param->length);
  return message;
}

static void
copy_params (Peridotstep__Execute *execute, const RequestOptions *options)
{
  execute->n_params = options->param_count;
  execute->params = calloc (options->param_count + 1, sizeof (Peridotstep__Param *));
  for (uint32_t i = 0; i < options->param_count; i++)
    execute->params[i] = param_new (&options->params[i]);
  execute->n_param_types = options->type_count;
  execute->param_types = calloc (options->type_count + 1, sizeof (uint32_t));
  if (options->types != NULL)
    memcpy (execute->param_types, options->types, options->type_count * sizeof (uint32_t));
}

Frame *
request_frame_new (const RequestOptions *options)
{
  const Session *session = options->session;
  Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_EXECUTE);
  Peridotstep__Execute *execute = frame->execute;

  execute->service = strdup (session->service);
  execute->operation = options->operation;
  execute->sql = strdup (options->sql);
  execute->extended = options->extended;
  execute->describe = options->describe;
  execute->result_format = options->result_format;
  execute->priority = options->class_config->priority;
  execute->read_only = !options->class_config->write;
  execute->max_age_ms = options->class_config->max_age_ms;
  execute->source = session->source;
  execute->need = frame_token_new (session->token);
  execute->in_transaction = session->transaction != TRANSACTION_NONE;
  if (session->transaction == TRANSACTION_BEGUN)
    execute->begin_sql = strdup (session->begin_sql);
  copy_params (execute, options);
  return frame;
}

void
request_frame_set_transaction_id (Frame *frame, const char *id)
{
  Peridotstep__Execute *execute = frame->execute;

  if (execute->transaction_id != protobuf_c_empty_string)
    free (execute->transaction_id);
  execute->transaction_id = strdup (id);
}

Frame *
request_frame_resolve (const Frame *frame, uint64_t request, uint32_t instance,
                       uint32_t deadline_ms)
{
  Frame *resolve = frame_new (PERIDOTSTEP__FRAME__BODY_EXECUTE);

  resolve->execute->request = request;
  resolve->execute->service = strdup (frame->execute->service);
  resolve->execute->operation = PERIDOTSTEP__OPERATION__RESOLVE;
  resolve->execute->transaction_id = strdup (frame->execute->transaction_id);
  resolve->execute->instance = instance;
  resolve->execute->deadline_ms = deadline_ms;
  return resolve;
}
