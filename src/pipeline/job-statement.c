#include "pipeline/job-statement.h"

#include <string.h>

struct JobStatement
{
  BackendStatement backend;
  char *sql;
  BackendParam *params;
};

static char *
sql_with_transaction_id (const Peridotstep__Execute *execute)
{
  if (execute->transaction_id[0] == '\0')
    return g_strdup (execute->sql);
  return g_strdup_printf ("/*peridotstep_txid='%s'*/ %s", execute->transaction_id, execute->sql);
}

static char *
param_value (const Peridotstep__Param *param)
{
  char *value;

  if (param->is_null)
    return NULL;
  value = g_malloc0 (param->value.len + 1);
  if (param->value.len > 0)
    memcpy (value, param->value.data, param->value.len);
  return value;
}

static BackendParam *
make_params (const Peridotstep__Execute *execute, uint32_t count)
{
  BackendParam *params = g_new0 (BackendParam, count + 1);

  for (size_t i = 0; i < execute->n_params; i++)
    {
      params[i].format = execute->params[i]->format;
      params[i].length = (uint32_t) execute->params[i]->value.len;
      params[i].value = param_value (execute->params[i]);
    }
  for (size_t i = 0; i < execute->n_param_types; i++)
    params[i].type = execute->param_types[i];
  return params;
}

JobStatement *
job_statement_new (const Peridotstep__Execute *execute)
{
  JobStatement *statement = g_new0 (JobStatement, 1);
  BackendStatement *backend = &statement->backend;

  backend->param_count = (uint32_t) MAX (execute->n_params, execute->n_param_types);
  statement->sql = sql_with_transaction_id (execute);
  statement->params = make_params (execute, backend->param_count);
  backend->sql = statement->sql;
  backend->params = statement->params;
  backend->extended = execute->extended && execute->operation == PERIDOTSTEP__OPERATION__RUN;
  backend->describe = execute->describe;
  backend->result_format = execute->result_format;
  return statement;
}

void
job_statement_free (JobStatement *statement)
{
  for (uint32_t i = 0; i < statement->backend.param_count; i++)
    g_free ((void *) statement->params[i].value);
  g_free (statement->params);
  g_free (statement->sql);
  g_free (statement);
}

const BackendStatement *
job_statement_get (const JobStatement *statement)
{
  return &statement->backend;
}
