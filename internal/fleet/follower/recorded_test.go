package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/standin/extender"
)

// TestRecorded guards against a build that reads polls and changes of an earlier or a later
// build wrongly, or rejects them, so that the daemons don't work together during an update.
// Each message is what encoder.Marshal returned for want in the code of 7fc650c: this file was
// run there without messages, and extender.Compare printed them. The message a0 has no fields.
func TestRecorded(t *testing.T) {
	tests := []struct {
		message string
		want    any
	}{
		{"a80185820219012c8201078200008200008200000285142000000003a20119232802f50402051b8000000000000000060c07a40181a40163692d31020503820106041902bc02" +
			"81a201656e6f727468021903200381a301a764506f6f6c6361707065537461746560664265666f726560664c656e677468006752656c656173656276326753746172746564f6" +
			"6756657273696f6e820000028201080319038404a565506f6f6c73f6664c696d697473a464426f64790066486561646572006849646c6554696d65006a48656164657254696d" +
			"650066526f75746573f667486f6c64657273f66756657273696f6e0b08f5", &pollRequest{
			Versions: [samphireturn.TopicCount]samphireturn.Revision{samphireturn.TopicTable: {Era: 2, Number: 300}, samphireturn.TopicHosts: {Era: 1, Number: 7}},
			Ages:     [samphireturn.TopicCount]int64{samphireturn.TopicTable: 20, samphireturn.TopicHosts: -1},
			Hosts:    continuity{Unbroken: 9000, Resumed: true},
			Era:      2, KeptHash: 1 << 63, TableVersion: 12,
			Kept: &keptMessage{
				Hosts:    []hostMessage{{ID: "i-1", Started: 5, Since: samphireturn.Revision{Era: 1, Number: 6}, Left: 700}},
				Closures: []closureMessage{{Name: "north", Left: 800}},
				Rollouts: []rolloutMessage{{Rollout: samphireturn.Rollout{Pool: "app", Release: "v2"}, Since: samphireturn.Revision{Era: 1, Number: 8}, Left: 900}},
				Table:    &samphireturn.Table{Version: 11},
			},
			Opening: true,
		}},
		{"a60185a301820000020005a0a601820304020a05a101181e064200a00702081828a301820000020005a0a301820000020005a0a301820000020005a002030311040d05a10281" +
			"a20165736f757468020106f5", &pollReply{
			Topics: [samphireturn.TopicCount]topicState{samphireturn.TopicHosts: {
				Version: samphireturn.Revision{Era: 3, Number: 4}, Age: 10, Continuity: continuity{Unbroken: 30}, First: 2, EraAge: 40, Packed: []byte{formatPlain, 0xa0},
			}},
			Era: 3, Open: true, KeptHash: 17, TableVersion: 13, Kept: &keptMessage{Closures: []closureMessage{{Name: "south", Left: 1}}},
		}},
		{"a301f50285a764476f6e65f464486f7374f6644e616d65657461626c65655461626c65a565506f6f6c7381a864436f6c641b0000000df8475800644e616d65636c6c6d65436f" +
			"6e6e730965436f737473a165736d616c6cfb3fd000000000000065536c6f747310664865616c7468672f6865616c7468664d656d6f727919fa0068436f6c6452617465fb3ff8" +
			"000000000000664c696d697473a464426f64790266486561646572016849646c6554696d65046a48656164657254696d650366526f7574657381ad64486f73746c6465736b2e" +
			"6578616d706c65644e616d65656472616674644f70656ef564576f726b026550617573651a000f42406553746570738265736d616c6c656c6172676566507265666978662f64" +
			"72616674675461726765747381a264506f6f6c636c6c6d66576569676874fb3fe00000000000006754696d656f75741b000000012a05f20068417474656d7074730368507269" +
			"6f7269747901694f626a6563746976651a3b9aca0069526573756d61626c65f567486f6c6465727381a4644b65797381636b6579644e616d6565616c7068616652616e6b6564" +
			"f5685072696f72697479026756657273696f6e0c664d656d626572f667526f6c6c6f7574f66756657273696f6e820102a764476f6e65f464486f7374a962494463692d316441" +
			"6464726e3132372e302e302e313a3830303064436f6c641a3b9aca0064506f6f6c636c6c6d65536c6f7473106643656e747265656e6f727468674c656176696e67f56752656c" +
			"65617365627631675374617274656405644e616d6563692d31655461626c65f6664d656d626572f667526f6c6c6f7574f66756657273696f6e820000a764476f6e65f464486f" +
			"7374f6644e616d6563617070655461626c65f6664d656d626572f667526f6c6c6f7574a864506f6f6c636170706553746174656772756e6e696e67664265666f726562763166" +
			"4c656e6774681b0000000df84758006752656c6561736562763267537461727465641a6553f1006756657273696f6e82010369556e7772697474656ef56756657273696f6e82" +
			"0000a764476f6e65f464486f7374f6644e616d65626431655461626c65f6664d656d626572a762696462643164616464726b3132372e302e302e313a3164706565726b313237" +
			"2e302e302e313a3264726f6c656065636f726573fb3fd999999999999a6663656e747265656e6f727468676c656176696e67f567526f6c6c6f7574f66756657273696f6e8200" +
			"00a764476f6e65f564486f7374f6644e616d6564676f6e65655461626c65f6664d656d626572f667526f6c6c6f7574f66756657273696f6e820000038163692d32", &changeSet{
			Complete: true,
			Entries: []samphireturn.Entry{
				{Name: "table", Version: samphireturn.Revision{Era: 1, Number: 2}, Table: &samphireturn.Table{
					Version: 12,
					Routes: []samphireturn.Route{{
						Name: "draft", Host: "desk.example", Prefix: "/draft", Work: samphireturn.WorkStream, Resumable: true, Timeout: 5 * time.Second,
						Objective: time.Second, MaxEventGap: time.Millisecond, Priority: 1, MaxAttempts: 3, Public: true, Steps: []string{"small", "large"},
						Targets: []samphireturn.Target{{Pool: "llm", Weight: 0.5}},
					}},
					Pools: []samphireturn.Pool{{
						Name: "llm", HealthPath: "/health", MaxConns: 9, WarmUp: time.Minute, WarmUpRate: 1.5, Slots: 16, MemoryTokens: 64000,
						Prices: map[string]float64{"small": 0.25},
					}},
					Limits: samphireturn.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
					Teams:  []samphireturn.TeamCredentials{{Name: "alpha", Keys: []string{"key"}, Priority: 2, HasPriority: true}},
				}},
				{Name: "i-1", Host: &samphireturn.Host{
					ID: "i-1", Pool: "llm", Addr: "127.0.0.1:8000", Centre: "north", Release: "v1", Slots: 16, Leaving: true, WarmUpLeft: time.Second, Started: 5,
				}},
				{Name: "app", Rollout: &samphireturn.Rollout{
					Pool: "app", Release: "v2", Duration: time.Minute, State: "running", Started: time.Unix(1700000000, 0), PreviousRelease: "v1", Unwritten: true,
					Version: samphireturn.Revision{Era: 1, Number: 3},
				}},
				{Name: "d1", Member: &samphireturn.VM{ID: "d1", Leaving: true, Centre: "north", Addr: "127.0.0.1:1", Peer: "127.0.0.1:2", Cores: 0.4}},
				{Name: "gone", Deleted: true},
			},
			Removed: []string{"i-2"},
		}},
		{"a0", new(pollRequest)},
		{"a0", new(pollReply)},
		{"a0", new(changeSet)},
	}
	for i, test := range tests {
		qt.New(t).Check(extender.Compare(test.message, test.want), qt.IsNil, qt.Commentf("message %d, a %T", i, test.want))
	}
}
