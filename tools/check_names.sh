#!/usr/bin/env bash
# Fails if a source outside platform/ and deploy/ uses a name of the operators'
# platform: its headers, fields of its documents, paths of its calls.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Persimmonring-|pathPrefix|timeoutMs|goalMs|maxAttempts|retainContext|retentionS|gapAimMs|healthPath|maxConns|kvCapacityTokens|eventTokens|machineClass|inFailureBudget|heartbeatAddr|callSeq|coldLeftMs|innerPorts|configApplyMs|graceS|fleetbench'
if git ls-files --cached --others --exclude-standard 'src/*' 'include/*' 'apps/*' 'fakes/*' 'schema/*' |
  xargs grep -nE "$names"; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
echo "names: clean"
# Two tables of one name in one namespace link without an error, and the wrong
# verifier then refuses good bytes.
twice=$(grep -hE '^(table|struct|enum|union) ' schema/*.fbs | awk '{print $2}' | sort | uniq -d)
if [ -n "$twice" ]; then
  echo "defined twice in schema/: $twice" >&2
  exit 1
fi
echo "schema: each name is defined once"
