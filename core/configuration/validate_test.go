package configuration

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Validation reports all problems of a value at once.
func TestValidationReportsAllProblems(t *testing.T) {
	current := snapshotWithContracts(1)
	for name, test := range map[string]struct {
		kind   Kind
		value  string
		fields []string
	}{
		"contract": {KindContract,
			`{"team":"x y","key_digests":["zz"],"pools":["nowhere","nowhere"],"requests_per_second":0,"priority":10}`,
			[]string{"team", "team", "key_digests[0]", "pools[0]", "pools[1]", "pools[1]", "requests_per_second", "priority"}},
		"key of another team": {KindContract,
			`{"team":"n","key_digests":["` + digestOf("team-0000") + `"],"pools":["farrier-lm"],"requests_per_second":1}`,
			[]string{"key_digests[0]"}},
		"pool": {KindPool,
			`{"name":"n","type":"service","path_prefix":"v1","non_idempotent":["post /a","POST /a?b","POST /c","POST /c"]}`,
			[]string{"path_prefix", "non_idempotent[0]", "non_idempotent[1]", "non_idempotent[3]"}},
		"data centre": {KindDataCentre, `{"name":"n","ramp_seconds":99999}`, []string{"ramp_seconds"}},
		"wrong field": {KindDataCentre, `{"name":"n","outt":true}`, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			key := Key{Kind: test.kind, Name: "n"}
			var fields []string
			for _, problem := range ValidateItem(key, []byte(test.value), current) {
				fields = append(fields, problem.Field)
			}
			must.Eq(t, test.fields, fields)
		})
	}
}

// A pool that a contract lists cannot be deleted.
func TestReferencedPoolCannotBeDeleted(t *testing.T) {
	current := snapshotWithContracts(1)
	must.SliceLen(t, 1, ValidateDelete(Key{Kind: KindPool, Name: "farrier-lm"}, current))
	must.SliceEmpty(t, ValidateDelete(Key{Kind: KindContract, Name: "team-0000"}, current))
	must.SliceLen(t, 1, ValidateDelete(Key{Kind: KindContract, Name: "nobody"}, current))
}
